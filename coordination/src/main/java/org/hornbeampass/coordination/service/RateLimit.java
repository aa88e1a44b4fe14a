package org.hornbeampass.coordination.service;

import java.util.OptionalDouble;

/**
 * The rate limit that an upstream's answers state for the whole fleet.
 *
 * <p>Answers may arrive out of order, and each VM receives different ones. Invariant: a stricter
 * limit takes effect at once; a looser one, or the end of the limit, takes effect only if its
 * answer belongs to a request that was sent after the stricter limit had been received. Immutable;
 * safe for use by any thread.
 *
 * @param perSecond requests a second; empty where the answer stated no limit
 * @param requestSentMs when the request was sent whose answer stated it, in milliseconds
 * @param answeredMs when that answer was received, in milliseconds
 */
public record RateLimit(OptionalDouble perSecond, long requestSentMs, long answeredMs) {
    /** The state before any answer. */
    public static final RateLimit UNKNOWN =
            new RateLimit(OptionalDouble.empty(), Long.MIN_VALUE, Long.MIN_VALUE);

    /** Returns whether any answer has been received. */
    boolean known() {
        return answeredMs != Long.MIN_VALUE;
    }

    /** Returns whether the upstream limits its request rate. */
    public boolean hasLimit() {
        return perSecond.isPresent();
    }

    /** Returns the limit that results from both; the order of the two does not matter. */
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
