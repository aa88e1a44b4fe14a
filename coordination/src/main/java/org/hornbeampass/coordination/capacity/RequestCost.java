package org.hornbeampass.coordination.capacity;

/**
 * Learns how much processor time a request costs.
 *
 * <p>Learns only while the processor is busy, since otherwise the work that does not depend on
 * requests would be attributed to the few requests. Confined to one thread.
 */
final class RequestCost {
    /** The fraction of the processor's capacity from which a cost is learnt. */
    private static final double MIN_BUSY_FRACTION = 0.2;

    /** The time constant with which earlier costs are forgotten, in milliseconds. */
    private static final double MEMORY_MS = 10_000;

    /** The fewest recent requests from which a cost is derived. */
    private static final double MIN_REQUESTS = 20;

    private double mRequests;
    private double mSeconds;

    /**
     * Records an interval.
     *
     * @param ms its length in milliseconds
     * @param requests the requests accepted in it
     * @param seconds the processor time used in it, in seconds of a core
     * @param cores the capacity of the processor, in seconds of a core per second
     */
    void record(double ms, double requests, double seconds, double cores) {
        if (seconds < MIN_BUSY_FRACTION * cores * ms / UtilisationMeter.SECOND_MS) {
            return;
        }
        double kept = Math.exp(-ms / MEMORY_MS);
        mRequests = kept * mRequests + requests;
        mSeconds = kept * mSeconds + seconds;
    }

    /** Returns the processor time of one request in seconds of a core; 0 while it is unknown. */
    double seconds() {
        return mRequests < MIN_REQUESTS ? 0 : mSeconds / mRequests;
    }
}
