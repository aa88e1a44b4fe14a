package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.service.SendGate;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;
import java.util.Optional;

/**
 * The permits that this VM's requests need: for upstreams that announce a rate limit, and for
 * upstreams in their slow start.
 *
 * <p>Invariant: a request is sent with a permit of the strictest kind that its upstream needs at
 * that moment. Confined to one thread.
 */
public final class SendPermits implements SendGate {
    private final List<RateLimiter> mLimiters;

    /** Creates permits of the given kinds, the strictest first. */
    public SendPermits(List<RateLimiter> limiters) {
        mLimiters = List.copyOf(limiters);
    }

    private Optional<RateLimiter> needed(long nowMs, UpstreamIncarnation upstream) {
        for (RateLimiter limiter : mLimiters) {
            if (limiter.isLimited(nowMs, upstream)) {
                return Optional.of(limiter);
            }
        }
        return Optional.empty();
    }

    @Override
    public long waitMs(long nowMs, UpstreamIncarnation upstream) {
        long waitMs = 0;
        for (RateLimiter limiter : mLimiters) {
            waitMs = Math.max(waitMs, limiter.waitMs(nowMs, upstream));
        }
        return waitMs;
    }

    /**
     * Requests a permit to send one request to an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the upstream
     * @param done receives the result, at once where no message to another VM is needed
     */
    public void acquire(long nowMs, UpstreamIncarnation upstream, PermitListener done) {
        Optional<RateLimiter> needed = needed(nowMs, upstream);
        if (needed.isEmpty()) {
            done.onAnswer(nowMs, Optional.of(SendPermit.unlimited(upstream)));
            return;
        }
        needed.get().acquire(nowMs, upstream, done);
    }

    /**
     * Uses up a permit right before the request is sent.
     *
     * @return whether the request may be sent; false if the permit has expired or the upstream
     *     needs a stricter one by now
     */
    public boolean redeem(long nowMs, SendPermit permit) {
        PermitKind kind =
                needed(nowMs, permit.upstream())
                        .map(RateLimiter::kind)
                        .orElse(PermitKind.UNLIMITED);
        if (kind == PermitKind.UNLIMITED) {
            return true;
        }
        return permit.kind().covers(kind) && limiter(permit).orElseThrow().redeem(nowMs, permit);
    }

    /** Returns an unused permit, so that another request of this VM can use it. */
    public void returnUnused(long nowMs, SendPermit permit) {
        limiter(permit).ifPresent(l -> l.returnUnused(nowMs, permit));
    }

    private Optional<RateLimiter> limiter(SendPermit permit) {
        return mLimiters.stream().filter(l -> l.kind() == permit.kind()).findFirst();
    }

    /** Removes expired permits, denials and buckets. */
    public void tick(long nowMs) {
        mLimiters.forEach(l -> l.tick(nowMs));
    }
}
