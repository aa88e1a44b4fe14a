package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.address.ConditionExchange;
import org.hornbeampass.coordination.address.OverloadDetector;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.Set;

/**
 * Measures whether this VM is overloaded, and shares that and the services to which it has lost its
 * links with the other VMs.
 *
 * <p>Confined to one event loop.
 */
final class OverloadMonitor {
    private final OverloadDetector mDetector = new OverloadDetector();
    private final ConditionExchange mExchange;
    private final UpstreamRegistry mUpstreams;
    private final LoopDelay mLoopDelay;
    private final RelayLog mLog;
    private boolean mOverloaded;

    /**
     * Creates the monitor.
     *
     * @param exchange shares the conditions of the VMs
     * @param upstreams provides the requests in progress
     * @param tickMs the interval of {@link #tick} in milliseconds
     * @param log receives a line when an overload begins or ends
     */
    OverloadMonitor(
            ConditionExchange exchange, UpstreamRegistry upstreams, long tickMs, RelayLog log) {
        mExchange = exchange;
        mUpstreams = upstreams;
        mLoopDelay = new LoopDelay(tickMs);
        mLog = log;
    }

    void registerMetrics(MetricRegistry metrics) {
        metrics.register("loop_delay_ms", (Gauge<Long>) this::loopDelayMs);
        metrics.register("overloaded_vms", (Gauge<Integer>) () -> overloaded().size());
    }

    /** Returns how late the event loop is, in milliseconds. */
    long loopDelayMs() {
        return mLoopDelay.delayMs();
    }

    /** Returns the names of the overloaded VMs. */
    Set<String> overloaded() {
        return mExchange.overloaded();
    }

    /**
     * Measures again and sends what has changed.
     *
     * @param nowMs the present time in milliseconds
     * @param lostServices the services to which this VM has lost its links
     */
    void tick(long nowMs, Set<String> lostServices) {
        mLoopDelay.onTick(nowMs);
        UpstreamRegistry.Requests requests = mUpstreams.requests();
        boolean before = mOverloaded;
        mOverloaded =
                mDetector.update(nowMs, requests.own(), requests.mean(), mLoopDelay.delayMs());
        mExchange.tick(nowMs, mOverloaded, lostServices);
        if (mOverloaded != before) {
            mLog.logStateChange(
                    nowMs,
                    mOverloaded ? "overload-begun" : "overload-ended",
                    new LogFields()
                            .add("requests", requests.own())
                            .add("mean_requests", Math.round(requests.mean()))
                            .add("loop_delay_ms", mLoopDelay.delayMs()));
        }
    }
}
