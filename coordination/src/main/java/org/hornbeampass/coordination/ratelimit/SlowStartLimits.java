package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.limit.TokenBucket;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.VmId;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Permits for upstreams in their slow start, for a restart of some or many upstreams under load.
 *
 * <p>Each of a few fixed VMs issues a share of an upstream's rate. Invariant: no VM takes over the
 * share of another, so that the shares add up to no more than the rate while the fleet is divided
 * or VMs are cut off; a dead issuer's share is unused meanwhile. After a denial the next permit may
 * come from another issuer, so that the wait is divided by their number. Confined to one thread.
 */
public final class SlowStartLimits implements PermitPolicy {
    /**
     * The wait after a request to a VM that does not consider itself an issuer, in milliseconds.
     */
    private static final long NOT_ISSUER_WAIT_MS = 100;

    private final SlowStarts mSlowStarts;
    private final AnnouncedLimits mAnnounced;
    private final SlowStartIssuers mIssuers;
    private final SlowStartBounds mBounds;
    private final RandomGenerator mRandom;
    private final Map<UpstreamIncarnation, TokenBucket> mBuckets = new HashMap<>();

    /**
     * Creates the policy.
     *
     * @param slowStarts the upstreams in their slow start
     * @param announced the rate limits that upstreams announce, which apply meanwhile too
     * @param issuers determines the issuers of each upstream
     * @param bounds what all VMs together may send
     * @param random chooses the issuer to ask
     */
    public SlowStartLimits(
            SlowStarts slowStarts,
            AnnouncedLimits announced,
            SlowStartIssuers issuers,
            SlowStartBounds bounds,
            RandomGenerator random) {
        mSlowStarts = slowStarts;
        mAnnounced = announced;
        mIssuers = issuers;
        mBounds = bounds;
        mRandom = random;
    }

    @Override
    public PermitKind kind() {
        return PermitKind.SLOW_START;
    }

    @Override
    public OptionalDouble perSecond(long nowMs, UpstreamIncarnation upstream) {
        OptionalDouble perSecond = mSlowStarts.perSecond(nowMs, upstream);
        OptionalDouble announced = mAnnounced.perSecond(nowMs, upstream);
        return perSecond.isPresent() && announced.isPresent()
                ? OptionalDouble.of(Math.min(perSecond.getAsDouble(), announced.getAsDouble()))
                : perSecond;
    }

    @Override
    public Optional<String> issuer(UpstreamIncarnation upstream) {
        List<String> reachable =
                mIssuers.issuersOf(upstream.upstream()).stream().filter(mIssuers::isLive).toList();
        return reachable.isEmpty()
                ? Optional.empty()
                : Optional.of(reachable.get(mRandom.nextInt(reachable.size())));
    }

    @Override
    public PeerMessage request(long nowMs, UpstreamIncarnation upstream) {
        return new SlowStartRequest(
                upstream,
                perSecond(nowMs, upstream).orElse(0),
                mSlowStarts.leftMs(nowMs, upstream));
    }

    @Override
    public PermitReply issue(long nowMs, UpstreamIncarnation upstream) {
        List<String> issuers = mIssuers.issuersOf(upstream.upstream());
        if (!issuers.contains(mIssuers.self())) {
            return PermitReply.denied(NOT_ISSUER_WAIT_MS);
        }
        OptionalDouble perSecond = perSecond(nowMs, upstream);
        if (perSecond.isEmpty()) {
            return PermitReply.GRANTED;
        }
        SlowStartBounds.Share share =
                mBounds.share(perSecond.getAsDouble(), issuers.size(), kind().validityMs());
        TokenBucket bucket =
                mBuckets.computeIfAbsent(
                        upstream, u -> TokenBucket.empty(share.perSecond(), share.burst(), nowMs));
        bucket.setRate(nowMs, share.perSecond(), share.burst());
        return bucket.tryTake(nowMs)
                ? PermitReply.GRANTED
                : PermitReply.denied(bucket.untilNextMs(nowMs) / issuers.size());
    }

    /** Answers another VM that considers this VM an issuer. */
    public void onRequest(
            long nowMs, VmId from, SlowStartRequest request, Consumer<PeerMessage> reply) {
        mSlowStarts.onReported(nowMs, request.upstream(), request.perSecond(), request.leftMs());
        reply.accept(issue(nowMs, request.upstream()));
    }

    @Override
    public void tick(long nowMs) {
        mBuckets.keySet().removeIf(u -> perSecond(nowMs, u).isEmpty());
    }
}
