package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.stream.StreamRecordListener;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.List;

/**
 * Logs what this VM records about streams in the store, and failed calls about it.
 *
 * <p>Confined to one event loop.
 */
final class StreamRecordLog implements StreamRecordListener {
    private final RelayLog mLog;

    StreamRecordLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onVersionsRecorded(long nowMs, String service, List<String> versions) {
        mLog.logStateChange(
                nowMs,
                "stream-versions-recorded",
                new LogFields()
                        .add("service", service)
                        .add("software_versions", String.join(" ", versions)));
    }

    @Override
    public void onRecordFailed(long nowMs, String key, String reason) {
        mLog.logStateChange(
                nowMs,
                "stream-record-failed",
                new LogFields().add("key", key).add("reason", reason));
    }
}
