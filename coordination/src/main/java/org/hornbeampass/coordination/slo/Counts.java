package org.hornbeampass.coordination.slo;

/**
 * How many requests were good and bad for an objective.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param good how many were good
 * @param bad how many were bad
 */
public record Counts(long good, long bad) {
    /** No request. */
    public static final Counts NONE = new Counts(0, 0);

    /** Returns both together. */
    public Counts plus(Counts other) {
        return new Counts(good + other.good, bad + other.bad);
    }

    /** Returns all that count. */
    public long total() {
        return good + bad;
    }
}
