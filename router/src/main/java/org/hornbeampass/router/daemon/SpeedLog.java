package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamSpeedListener;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

/**
 * Logs changes of the rates at which upstreams read prompts.
 *
 * <p>Confined to one event loop.
 */
final class SpeedLog implements UpstreamSpeedListener {
    private final RelayLog mLog;

    SpeedLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onSpeed(
            long nowMs,
            UpstreamIncarnation upstream,
            double formerTokensPerMs,
            double tokensPerMs,
            int samples) {
        LogFields fields =
                new LogFields()
                        .add("upstream", upstream.upstream())
                        .add("born_ms", upstream.bornMs())
                        .add("former_tokens_per_ms", Double.toString(formerTokensPerMs))
                        .add("tokens_per_ms", Double.toString(tokensPerMs))
                        .add("samples", samples);
        mLog.logStateChange(nowMs, "upstream-speed", fields);
    }
}
