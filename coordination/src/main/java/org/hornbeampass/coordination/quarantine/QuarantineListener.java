package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * Hears of the verdicts on requests.
 *
 * <p>Called on the thread to which the table is confined.
 */
public interface QuarantineListener {
    /** A request is kept from upstreams from now on, for the crashes of some. */
    void onQuarantined(long nowMs, RequestDigest digest, List<UpstreamIncarnation> crashes);

    /** A request may run again. */
    void onReleased(long nowMs, RequestDigest digest);

    /** The store's record of a quarantine could not be written or read. */
    void onRecordFailed(long nowMs, String key, String reason);
}
