package org.hornbeampass.coordination.service;

/**
 * The signals about an upstream in the answers of one of its incarnations.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param leaving whether it is leaving; once true, this stays true
 * @param rateLimit its rate limit for the whole fleet
 */
public record UpstreamSignals(boolean leaving, RateLimit rateLimit) {
    /** The state before any answer. */
    public static final UpstreamSignals NONE = new UpstreamSignals(false, RateLimit.UNKNOWN);

    /** Returns the signals that result from both; the order of the two does not matter. */
    UpstreamSignals merge(UpstreamSignals other) {
        return new UpstreamSignals(leaving || other.leaving, rateLimit.merge(other.rateLimit));
    }

    /** Returns whether the signals restrict the requests that may be sent to the upstream. */
    boolean restricts() {
        return leaving || rateLimit.hasLimit();
    }
}
