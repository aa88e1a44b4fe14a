package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.limit.AdmissionQueue;
import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.coordination.routing.UpstreamChooser;
import org.hornbeampass.coordination.upstream.Placement;
import org.hornbeampass.coordination.upstream.UpstreamHealth;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One VM in virtual time: the library's decisions, wired as the daemon wires them.
 *
 * <p>Not thread-safe.
 */
final class SimulatedVm {
    private static final int MAX_WAITING = 500;

    private final VirtualClock mClock;
    private final int mNumber;
    private final UpstreamTable mTable;
    private final UpstreamChooser mChooser;
    private final RetryBudget mBudget;
    private final RetryPolicy mRetries = new RetryPolicy();
    private final Map<WorkTarget, AdmissionQueue> mQueues = new HashMap<>();
    private final Map<UpstreamId, Long> mSeenEvents = new HashMap<>();

    SimulatedVm(
            VirtualClock clock, int number, SimulationSettings settings, ConfigSnapshot config) {
        mClock = clock;
        mNumber = number;
        Placement placement = new Placement("vm-" + number, domain(number), new Region("region"));
        mTable = new UpstreamTable(placement, settings.routing());
        mTable.applyConfig(0, config);
        mChooser = new UpstreamChooser(mTable, settings.policy(), settings.seed() * 31 + number);
        mBudget =
                settings.retries().bounded()
                        ? RetryBudget.defaults()
                        : new RetryBudget(1_000, 1_000, 1_000_000);
        for (WorkTarget target :
                List.of(WorkTarget.model(Demand.MODEL), WorkTarget.service(Demand.SERVICE))) {
            mQueues.put(target, new AdmissionQueue(mChooser.capacity(0, target), MAX_WAITING));
        }
    }

    static FailureDomain domain(int number) {
        return new FailureDomain("domain-" + number % Site.DOMAINS);
    }

    int number() {
        return mNumber;
    }

    UpstreamTable table() {
        return mTable;
    }

    UpstreamChooser chooser() {
        return mChooser;
    }

    RetryBudget budget() {
        return mBudget;
    }

    RetryPolicy retries() {
        return mRetries;
    }

    AdmissionQueue queue(WorkTarget target) {
        return mQueues.get(target);
    }

    /** Returns whether what it sends to an upstream now is a probe of one that it ejected. */
    boolean probes(SimulatedUpstream upstream) {
        return mTable.status(mClock.nowMs()).stream()
                .filter(s -> s.id().equals(upstream.spec().id()))
                .anyMatch(s -> s.health() != UpstreamHealth.State.HEALTHY);
    }

    /** Fetches load reports and sets the queues' capacities. */
    void poll(List<SimulatedUpstream> upstreams) {
        long nowMs = mClock.nowMs();
        for (SimulatedUpstream each : upstreams) {
            each.report().ifPresent(r -> mTable.onLoadReport(nowMs, each.spec().id(), r));
        }
        mQueues.forEach(
                (target, queue) -> {
                    queue.setCapacity(nowMs, mChooser.capacity(nowMs, target));
                    queue.expire(nowMs);
                });
    }

    /** Fetches one upstream's cache events. */
    void pollCache(SimulatedUpstream upstream) {
        long seen = mSeenEvents.getOrDefault(upstream.spec().id(), 0L);
        for (CacheEvents batch : upstream.cacheEvents(seen)) {
            mTable.onCacheEvents(mClock.nowMs(), batch);
            long last = batch.firstSequence() + batch.events().size() - 1;
            mSeenEvents.put(upstream.spec().id(), last);
        }
    }
}
