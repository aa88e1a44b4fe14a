package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.limit.TokenBucket;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.HashMap;
import java.util.Map;

/**
 * Issues the permits of the upstreams whose home is this VM.
 *
 * <p>Invariant: the permits issued for an upstream in any interval are at most its rate times the
 * interval plus one burst. A home that takes over from another VM waits until the permits of the
 * previous home have expired. Confined to one thread.
 */
final class PermitIssuer {
    /** The fixed part of the burst in permits, to which {@link #BURST_SECONDS} adds. */
    private static final double BASE_BURST_PERMITS = 2;

    /** The part of the burst that grows with the rate, in seconds of the rate. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * The lowest rate of permits: an upstream with a lower limit still receives requests at this
     * rate, whose answers show whether the limit has changed.
     */
    private static final double MIN_PER_SECOND = 0.2;

    /**
     * How long a new home waits before it issues permits, in milliseconds: longer than a permit is
     * valid.
     */
    static final long TAKEOVER_DELAY_MS = 1_000;

    /** How long an unused bucket is kept, in milliseconds. */
    private static final long BUCKET_IDLE_MS = 10_000;

    /**
     * The bucket from which the permits of one upstream are issued.
     *
     * @param bucket the bucket, with the upstream's rate
     * @param lastRequestMs when a permit was last requested, in milliseconds
     */
    private record UpstreamBucket(TokenBucket bucket, long lastRequestMs) {}

    private final SignalTable mSignals;
    private final Map<UpstreamIncarnation, UpstreamBucket> mBuckets = new HashMap<>();

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
        double burst = BASE_BURST_PERMITS + BURST_SECONDS * perSecond;
        UpstreamBucket known = mBuckets.get(upstream);
        TokenBucket bucket =
                known == null
                        ? TokenBucket.empty(perSecond, burst, fillFromMs(nowMs, upstream))
                        : known.bucket();
        bucket.setRate(nowMs, perSecond, burst);
        mBuckets.put(upstream, new UpstreamBucket(bucket, nowMs));
        return bucket.tryTake(nowMs)
                ? PermitReply.GRANTED
                : PermitReply.denied(bucket.untilNextMs(nowMs));
    }

    /**
     * Returns when a new bucket begins to fill: a limit that is not new may have had another home
     * before.
     */
    private long fillFromMs(long nowMs, UpstreamIncarnation upstream) {
        boolean mayTakeOver = mSignals.limitKnownForMs(nowMs, upstream) >= TAKEOVER_DELAY_MS;
        return mayTakeOver ? nowMs + TAKEOVER_DELAY_MS : nowMs;
    }

    /** Removes the buckets that are unused or whose upstream has no limit any more. */
    void tick(long nowMs) {
        mBuckets.entrySet()
                .removeIf(
                        e ->
                                nowMs - e.getValue().lastRequestMs() >= BUCKET_IDLE_MS
                                        || !mSignals.get(e.getKey()).rateLimit().hasLimit());
    }
}
