package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * What the platform's store holds of one quarantined request, under its digest.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param crashes the crashes on which the verdict rests
 * @param untilMs until when the request is kept from upstreams, in milliseconds since 1970
 */
record QuarantineRecord(List<UpstreamIncarnation> crashes, long untilMs) {
    /** Copies the list. */
    QuarantineRecord {
        crashes = List.copyOf(crashes);
    }

    SuspectReport.Item item(long nowMs, RequestDigest digest) {
        return new SuspectReport.Item(
                digest, crashes, List.of(), Math.max(0, untilMs - nowMs), true);
    }
}
