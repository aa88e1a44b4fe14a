package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.service.SignalListener;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.OptionalDouble;

/**
 * Logs the signals that upstreams send in their answers: that they are leaving, and their rate
 * limits.
 *
 * <p>Confined to one event loop.
 */
final class SignalLog implements SignalListener {
    private static final double UNLIMITED = -1;

    private final RelayLog mLog;

    SignalLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onLeaving(long nowMs, UpstreamIncarnation upstream, String toldBy) {
        mLog.logStateChange(
                nowMs, "upstream-leaving", upstreamFields(upstream).add("told_by", toldBy));
    }

    @Override
    public void onRateLimit(
            long nowMs, UpstreamIncarnation upstream, OptionalDouble perSecond, String toldBy) {
        LogFields fields =
                upstreamFields(upstream)
                        .add("per_second", Double.toString(perSecond.orElse(UNLIMITED)))
                        .add("told_by", toldBy);
        mLog.logStateChange(nowMs, "upstream-limit", fields);
    }

    private static LogFields upstreamFields(UpstreamIncarnation upstream) {
        return new LogFields()
                .add("upstream", upstream.upstream())
                .add("born_ms", upstream.bornMs());
    }
}
