package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.service.UpstreamReach;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayBounds;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.transport.relay.UnrequestedInput;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Watches to which services this VM has lost its links, and opens connections to their upstreams to
 * notice the end of a loss, since requests are forwarded to other VMs meanwhile.
 *
 * <p>Confined to one event loop.
 */
final class UpstreamReachMonitor implements UpstreamPool.ConnectListener {
    /** The interval between probes during a loss, in milliseconds. */
    private static final long PROBE_INTERVAL_MS = 300;

    private final UpstreamReach mReach = new UpstreamReach();
    private final UpstreamRegistry mUpstreams;
    private final RelayLog mLog;
    private final RandomGenerator mRandom;
    private long mNextProbeMs;

    /**
     * Creates the monitor.
     *
     * @param upstreams the upstreams
     * @param log receives a line when the links are lost or regained
     * @param random chooses the upstreams to probe
     */
    UpstreamReachMonitor(UpstreamRegistry upstreams, RelayLog log, RandomGenerator random) {
        mUpstreams = upstreams;
        mLog = log;
        mRandom = random;
    }

    void registerMetrics(MetricRegistry metrics) {
        metrics.register("lost_services", (Gauge<Integer>) () -> mReach.lostServices().size());
    }

    UpstreamReach reach() {
        return mReach;
    }

    @Override
    public void onOpened(long nowMs, String address) {
        mUpstreams.serviceAt(address).ifPresent(s -> onOpenedTo(nowMs, s));
    }

    private void onOpenedTo(long nowMs, String service) {
        OptionalLong lostSinceMs = mReach.lostSinceMs(service);
        mReach.onOpened(nowMs, service);
        logEnd(nowMs, service, lostSinceMs, "service-regained");
    }

    private void logEnd(long nowMs, String service, OptionalLong lostSinceMs, String kind) {
        lostSinceMs.ifPresent(
                sinceMs ->
                        mLog.logStateChange(
                                nowMs,
                                kind,
                                new LogFields()
                                        .add("service", service)
                                        .add("lost_ms", nowMs - sinceMs)));
    }

    @Override
    public void onUnreachable(long nowMs, String address) {
        mUpstreams.serviceAt(address).ifPresent(s -> onUnreachable(nowMs, s, address));
    }

    private void onUnreachable(long nowMs, String service, String address) {
        int upstreams = mUpstreams.usableAddresses(nowMs, service).size();
        boolean wasLost = mReach.isLost(service);
        mReach.onUnreachable(nowMs, service, address, Math.max(1, upstreams));
        if (mReach.isLost(service) && !wasLost) {
            mLog.logStateChange(
                    nowMs,
                    "service-lost",
                    new LogFields().add("service", service).add("upstreams", upstreams));
        }
    }

    @Override
    public void onUnrequestedInput(long nowMs, String address, UnrequestedInput where) {
        mLog.logUnrequestedInput(nowMs, address, where);
    }

    /** Probes one upstream of each service to which the links are lost. */
    void tick(long nowMs, UpstreamPool pool) {
        if (nowMs < mNextProbeMs) {
            return;
        }
        mNextProbeMs = nowMs + PROBE_INTERVAL_MS;
        for (String service : mReach.lostServices()) {
            List<String> addresses = mUpstreams.usableAddresses(nowMs, service);
            if (addresses.isEmpty()) {
                logEnd(nowMs, service, mReach.lostSinceMs(service), "service-gone");
                mReach.onNoUpstreams(service);
                continue;
            }
            String address = addresses.get(mRandom.nextInt(addresses.size()));
            pool.probe(address, RelayBounds.CONNECT_TIMEOUT_MS, opened -> {});
        }
    }
}
