package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.quarantine.QuarantineListener;
import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Logs when requests that crash upstreams are quarantined or released, with the crashes that led to
 * it.
 *
 * <p>Confined to one event loop.
 */
final class QuarantineLog implements QuarantineListener {
    private final RelayLog mLog;

    QuarantineLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onQuarantined(long nowMs, SuspectDigest digest, List<UpstreamIncarnation> crashes) {
        String upstreams =
                crashes.stream()
                        .map(UpstreamIncarnation::upstream)
                        .collect(Collectors.joining(" "));
        mLog.logStateChange(
                nowMs,
                "request-quarantined",
                new LogFields()
                        .add("digest", digest.toString())
                        .add("crashes", crashes.size())
                        .add("upstreams", upstreams));
    }

    @Override
    public void onReleased(long nowMs, SuspectDigest digest) {
        mLog.logStateChange(
                nowMs, "request-released", new LogFields().add("digest", digest.toString()));
    }

    @Override
    public void onRecordFailed(long nowMs, String key, String reason) {
        mLog.logStateChange(
                nowMs,
                "quarantine-record-failed",
                new LogFields().add("key", key).add("reason", reason));
    }
}
