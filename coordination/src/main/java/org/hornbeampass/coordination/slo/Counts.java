package org.hornbeampass.coordination.slo;

/**
 * The number of requests that met and that missed an objective.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param good the number of requests that met it
 * @param bad the number of requests that missed it
 */
public record Counts(long good, long bad) {
    /** Counts of no requests. */
    public static final Counts NONE = new Counts(0, 0);

    /** Returns the sum of both counts. */
    public Counts plus(Counts other) {
        return new Counts(good + other.good, bad + other.bad);
    }

    /** Returns the number of requests, good and bad. */
    public long total() {
        return good + bad;
    }
}
