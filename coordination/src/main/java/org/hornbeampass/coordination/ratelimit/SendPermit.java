package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

/**
 * A permit to send one request to an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param kind what it covers
 * @param validUntilMs when the permit expires, in milliseconds of its holder's clock
 */
public record SendPermit(UpstreamIncarnation upstream, PermitKind kind, long validUntilMs) {
    /** Returns a permit for an upstream without a limit, which never expires. */
    static SendPermit unlimited(UpstreamIncarnation upstream) {
        return new SendPermit(upstream, PermitKind.UNLIMITED, Long.MAX_VALUE);
    }

    /** Returns whether the permit was issued under a limit. */
    boolean limited() {
        return kind != PermitKind.UNLIMITED;
    }

    /** Returns whether the permit has not expired. */
    boolean valid(long nowMs) {
        return nowMs < validUntilMs;
    }
}
