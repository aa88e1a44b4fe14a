package org.hornbeampass.coordination.service;

import java.util.OptionalDouble;

/**
 * How many requests an upstream takes from the whole fleet, as its answers named it.
 *
 * <p>Answers overtake one another, and VMs hear different ones. Invariant: a stricter limit counts
 * at once; a looser one, or none, counts only from an answer to a request that was sent after the
 * stricter one had been heard. Immutable; safe for use by any thread.
 *
 * @param perSecond requests a second; empty where the answer named no limit
 * @param requestSentMs when the request was sent whose answer named it, in milliseconds
 * @param answeredMs when the answer came, in milliseconds
 */
public record RateLimit(OptionalDouble perSecond, long requestSentMs, long answeredMs) {
    /** What is known before any answer. */
    public static final RateLimit UNKNOWN =
            new RateLimit(OptionalDouble.empty(), Long.MIN_VALUE, Long.MIN_VALUE);

    /** Returns whether an answer has told anything. */
    boolean known() {
        return answeredMs != Long.MIN_VALUE;
    }

    /** Returns whether it bounds what the upstream may be sent. */
    public boolean hasLimit() {
        return perSecond.isPresent();
    }

    /** Returns what holds after both, whatever their order. */
    RateLimit merge(RateLimit other) {
        if (!known() || !other.known()) {
            return known() ? this : other;
        }
        int compared = Double.compare(rateOrInfinity(), other.rateOrInfinity());
        if (compared == 0) {
            return new RateLimit(
                    perSecond,
                    Math.max(requestSentMs, other.requestSentMs),
                    Math.max(answeredMs, other.answeredMs));
        }
        RateLimit stricter = compared < 0 ? this : other;
        RateLimit looser = compared < 0 ? other : this;
        return looser.requestSentMs >= stricter.answeredMs ? looser : stricter;
    }

    private double rateOrInfinity() {
        return perSecond.orElse(Double.POSITIVE_INFINITY);
    }
}
