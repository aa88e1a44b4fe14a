package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.address.OverloadDetector;
import org.hornbeampass.coordination.address.OverloadExchange;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.Set;

/**
 * Measures whether this VM is overloaded and shares that with the other VMs.
 *
 * <p>Confined to one event loop.
 */
final class OverloadMonitor {
    private final OverloadDetector mDetector = new OverloadDetector();
    private final OverloadExchange mExchange;
    private final UpstreamRegistry mUpstreams;
    private final LoopDelay mLoopDelay;
    private final RelayLog mLog;
    private boolean mOverloaded;

    /**
     * Creates the monitor.
     *
     * @param exchange shares which VMs are overloaded
     * @param upstreams provides the requests in progress
     * @param tickMs the interval of {@link #tick} in milliseconds
     * @param log receives a line when an overload begins or ends
     */
    OverloadMonitor(
            OverloadExchange exchange, UpstreamRegistry upstreams, long tickMs, RelayLog log) {
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

    void tick(long nowMs) {
        mLoopDelay.onTick(nowMs);
        UpstreamRegistry.Requests requests = mUpstreams.requests();
        boolean before = mOverloaded;
        mOverloaded =
                mDetector.update(nowMs, requests.own(), requests.mean(), mLoopDelay.delayMs());
        mExchange.tick(nowMs, mOverloaded);
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
