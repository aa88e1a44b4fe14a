package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.VmId;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Permits for upstreams whose answers announce a rate limit: one VM, the upstream's home, issues
 * them for the whole fleet.
 *
 * <p>Confined to one thread.
 */
public final class AnnouncedLimits implements PermitPolicy {
    /** The wait after a request to a VM that is not the home, in milliseconds. */
    private static final long NOT_HOME_WAIT_MS = 200;

    private final SignalTable mSignals;
    private final Supplier<SignalExchange> mExchange;
    private final PermitHomeResolver mHomes;
    private final PermitIssuer mIssuer;

    /**
     * Creates the policy.
     *
     * @param signals the known signals of upstreams, with their rate limits
     * @param exchange returns the exchange that receives signals from other VMs; called only once
     *     there is a limit
     * @param homes determines the home of each upstream
     */
    public AnnouncedLimits(
            SignalTable signals, Supplier<SignalExchange> exchange, PermitHomeResolver homes) {
        mSignals = signals;
        mExchange = exchange;
        mHomes = homes;
        mIssuer = new PermitIssuer(signals);
    }

    @Override
    public PermitKind kind() {
        return PermitKind.ANNOUNCED_LIMIT;
    }

    @Override
    public OptionalDouble perSecond(long nowMs, UpstreamIncarnation upstream) {
        return mSignals.isEmpty()
                ? OptionalDouble.empty()
                : mSignals.get(upstream).rateLimit().perSecond();
    }

    @Override
    public Optional<String> issuer(UpstreamIncarnation upstream) {
        return mHomes.homeOf(upstream.upstream());
    }

    @Override
    public PeerMessage request(long nowMs, UpstreamIncarnation upstream) {
        return new PermitRequest(SignalReport.Item.of(nowMs, upstream, mSignals.get(upstream)));
    }

    @Override
    public PermitReply issue(long nowMs, UpstreamIncarnation upstream) {
        return mIssuer.issue(nowMs, upstream);
    }

    /** Answers another VM that considers this VM the home. */
    public void onRequest(
            long nowMs, VmId from, PermitRequest request, Consumer<PeerMessage> reply) {
        UpstreamIncarnation upstream = request.known().upstream();
        mExchange.get().onItem(nowMs, from, request.known());
        boolean home = mHomes.homeOf(upstream.upstream()).filter(mHomes.self()::equals).isPresent();
        reply.accept(home ? issue(nowMs, upstream) : PermitReply.denied(NOT_HOME_WAIT_MS));
    }

    @Override
    public void tick(long nowMs) {
        mIssuer.tick(nowMs);
    }
}
