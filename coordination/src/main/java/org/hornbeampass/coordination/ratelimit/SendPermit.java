package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

/**
 * The right to send one request to an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param validUntilMs until when it may be used, in milliseconds of its holder's clock; {@link
 *     #NEVER_EXPIRES} where the upstream had no rate limit
 */
public record SendPermit(UpstreamIncarnation upstream, long validUntilMs) {
    private static final long NEVER_EXPIRES = Long.MAX_VALUE;

    /** Returns a permit for an upstream without a rate limit. */
    static SendPermit unlimited(UpstreamIncarnation upstream) {
        return new SendPermit(upstream, NEVER_EXPIRES);
    }

    /** Returns whether it was given out within a rate limit. */
    boolean limited() {
        return validUntilMs != NEVER_EXPIRES;
    }

    /** Returns whether it may still be used. */
    boolean valid(long nowMs) {
        return nowMs < validUntilMs;
    }
}
