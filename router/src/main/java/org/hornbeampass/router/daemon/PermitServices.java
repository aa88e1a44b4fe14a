package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.ratelimit.AnnouncedLimits;
import org.hornbeampass.coordination.ratelimit.PermitCounts;
import org.hornbeampass.coordination.ratelimit.RateLimiter;
import org.hornbeampass.coordination.ratelimit.SendPermits;
import org.hornbeampass.coordination.ratelimit.SlowStartBounds;
import org.hornbeampass.coordination.ratelimit.SlowStartLimits;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.SlowStarts;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The permits of one VM: those that it needs, and those that it issues for other VMs.
 *
 * <p>Confined to one event loop.
 */
final class PermitServices {
    private final AnnouncedLimits mAnnouncedLimits;
    private final SlowStartLimits mSlowStartLimits;
    private final RateLimiter mAnnounced;
    private final RateLimiter mSlowStart;
    private final SendPermits mPermits;

    PermitServices(
            SignalTable signals,
            Supplier<SignalExchange> exchange,
            SlowStarts slowStarts,
            SlowStartBounds bounds,
            FleetView fleet,
            PeerNetwork peers,
            RandomGenerator random) {
        mAnnouncedLimits = new AnnouncedLimits(signals, exchange, fleet);
        mSlowStartLimits = new SlowStartLimits(slowStarts, mAnnouncedLimits, fleet, bounds, random);
        mAnnounced = new RateLimiter(mAnnouncedLimits, peers, fleet.self());
        mSlowStart = new RateLimiter(mSlowStartLimits, peers, fleet.self());
        mPermits = new SendPermits(List.of(mSlowStart, mAnnounced));
    }

    SendPermits permits() {
        return mPermits;
    }

    AnnouncedLimits announcedLimits() {
        return mAnnouncedLimits;
    }

    SlowStartLimits slowStartLimits() {
        return mSlowStartLimits;
    }

    void registerMetrics(MetricRegistry metrics) {
        register(metrics, "permits", mAnnounced.counts());
        register(metrics, "slow_start_permits", mSlowStart.counts());
    }

    private static void register(MetricRegistry metrics, String prefix, PermitCounts permits) {
        metrics.register(prefix + "_granted", (Gauge<Long>) permits::granted);
        metrics.register(prefix + "_denied", (Gauge<Long>) permits::denied);
        metrics.register(prefix + "_unanswered", (Gauge<Long>) permits::unanswered);
        metrics.register(prefix + "_used", (Gauge<Long>) permits::used);
        metrics.register(prefix + "_expired", (Gauge<Long>) permits::expired);
    }
}
