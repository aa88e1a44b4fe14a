package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.limit.TokenBucket;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.HashMap;
import java.util.Map;

/**
 * Gives out the permits of the upstreams whose home this VM is.
 *
 * <p>Invariant: what it gives out for an upstream in any span is at most the upstream's rate over
 * that span and one burst. A home that takes over from another waits until the other's permits have
 * expired. Confined to one thread.
 */
final class PermitIssuer {
    /** How many permits an idle upstream saves up, beside those of {@link #BURST_S}. */
    private static final double BURST_PERMITS = 2;

    /** For how long an idle upstream saves up permits, in seconds. */
    private static final double BURST_S = 0.25;

    /** The rate at which an upstream that takes less is asked whether that still holds. */
    private static final double MIN_PER_SECOND = 0.2;

    /** How long a home that takes over waits, in milliseconds: longer than a permit is valid. */
    static final long TAKEOVER_MS = 1_000;

    /** For how long a bucket is kept that nobody asks for, in milliseconds. */
    private static final long IDLE_MS = 10_000;

    /**
     * The permits of one upstream.
     *
     * @param bucket its rate
     * @param askedMs when one was asked for last, in milliseconds
     */
    private record Issued(TokenBucket bucket, long askedMs) {}

    private final SignalTable mSignals;
    private final Map<UpstreamIncarnation, Issued> mIssued = new HashMap<>();

    PermitIssuer(SignalTable signals) {
        mSignals = signals;
    }

    /** Grants or denies a permit. */
    PermitReply issue(long nowMs, UpstreamIncarnation upstream) {
        var limit = mSignals.get(upstream).rateLimit().perSecond();
        if (limit.isEmpty()) {
            return PermitReply.GRANTED;
        }
        double perSecond = Math.max(MIN_PER_SECOND, limit.getAsDouble());
        double burst = BURST_PERMITS + BURST_S * perSecond;
        Issued known = mIssued.get(upstream);
        TokenBucket bucket =
                known == null
                        ? TokenBucket.empty(perSecond, burst, opensAtMs(nowMs, upstream))
                        : known.bucket();
        bucket.setRate(nowMs, perSecond, burst);
        mIssued.put(upstream, new Issued(bucket, nowMs));
        return bucket.tryTake(nowMs)
                ? PermitReply.GRANTED
                : PermitReply.denied(bucket.untilNextMs(nowMs));
    }

    /** A limit that has been known for a while may have had another home before. */
    private long opensAtMs(long nowMs, UpstreamIncarnation upstream) {
        boolean takesOver = mSignals.limitKnownForMs(nowMs, upstream) >= TAKEOVER_MS;
        return takesOver ? nowMs + TAKEOVER_MS : nowMs;
    }

    /** Forgets what is over. */
    void tick(long nowMs) {
        mIssued.entrySet()
                .removeIf(
                        e ->
                                nowMs - e.getValue().askedMs() >= IDLE_MS
                                        || !mSignals.get(e.getKey()).rateLimit().hasLimit());
    }
}
