package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * Receives the quarantines and releases of requests, and failed calls to the store.
 *
 * <p>Called on the thread to which the {@link SuspectTable} is confined.
 */
public interface QuarantineListener {
    /** Called when a request is quarantined because upstreams crashed while running it. */
    void onQuarantined(long nowMs, SuspectDigest digest, List<UpstreamIncarnation> crashes);

    /** Called when the quarantine of a request ends. */
    void onReleased(long nowMs, SuspectDigest digest);

    /** Called when the store's record of a quarantine could not be read, written or deleted. */
    void onRecordFailed(long nowMs, String key, String reason);
}
