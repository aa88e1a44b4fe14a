package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

/**
 * A permit to send one request to an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param validUntilMs when the permit expires, in milliseconds of its holder's clock; {@link
 *     #NEVER_EXPIRES} if the upstream had no rate limit
 */
public record SendPermit(UpstreamIncarnation upstream, long validUntilMs) {
    private static final long NEVER_EXPIRES = Long.MAX_VALUE;

    /** Returns a permit for an upstream without a rate limit. */
    static SendPermit unlimited(UpstreamIncarnation upstream) {
        return new SendPermit(upstream, NEVER_EXPIRES);
    }

    /** Returns whether the permit was issued under a rate limit. */
    boolean limited() {
        return validUntilMs != NEVER_EXPIRES;
    }

    /** Returns whether the permit has not expired. */
    boolean valid(long nowMs) {
        return nowMs < validUntilMs;
    }
}
