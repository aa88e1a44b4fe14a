package org.hornbeampass.coordination.service;

/**
 * What the answers of one incarnation of an upstream have said of the upstream itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param leaving whether it leaves, which it never takes back
 * @param rateLimit how many requests it takes from the whole fleet
 */
public record UpstreamSignals(boolean leaving, RateLimit rateLimit) {
    /** What is known before any answer. */
    public static final UpstreamSignals NONE = new UpstreamSignals(false, RateLimit.UNKNOWN);

    /** Returns what holds after both, whatever their order. */
    UpstreamSignals merge(UpstreamSignals other) {
        return new UpstreamSignals(leaving || other.leaving, rateLimit.merge(other.rateLimit));
    }

    /** Returns whether it restricts what the upstream may be sent. */
    boolean restricts() {
        return leaving || rateLimit.hasLimit();
    }
}
