package org.hornbeampass.coordination.service;

/**
 * The time between the events of an upstream's streams, by how many of its slots were in use.
 *
 * <p>Confined to one thread.
 */
final class EventTimes {
    /** The number of ranges into which the use of the slots is divided. */
    private static final int RANGES = 4;

    private static final double SMOOTHING = 0.1;

    private final double[] mMeanMs = new double[RANGES];

    /**
     * Records events.
     *
     * @param eventMs the mean time between them, in milliseconds
     * @param used the share of the slots that was in use
     */
    void onEvents(double eventMs, double used) {
        int range = range(used);
        double mean = mMeanMs[range];
        mMeanMs[range] = mean == 0 ? eventMs : mean + SMOOTHING * (eventMs - mean);
    }

    /**
     * Returns the time between events in milliseconds while a share of the slots is in use, or that
     * of the nearest range that was observed; 0 where none was.
     */
    double eventMs(double used) {
        int range = range(used);
        for (int distance = 0; distance < RANGES; distance++) {
            double below = range - distance >= 0 ? mMeanMs[range - distance] : 0;
            double above = range + distance < RANGES ? mMeanMs[range + distance] : 0;
            if (below > 0 || above > 0) {
                return below > 0 ? below : above;
            }
        }
        return 0;
    }

    private static int range(double used) {
        return (int) Math.max(0, Math.min(RANGES - 1, used * RANGES));
    }
}
