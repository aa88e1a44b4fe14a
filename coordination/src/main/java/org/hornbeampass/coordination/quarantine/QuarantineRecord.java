package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.List;

/**
 * The record of one quarantined request in the platform's store, where its key contains the digest.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param crashes the crashes for which the request was quarantined
 * @param untilMs when the quarantine ends, in milliseconds since 1970
 * @param trials how many trials were started; 0 where a record does not state it
 */
record QuarantineRecord(List<UpstreamIncarnation> crashes, long untilMs, int trials) {
    /** Copies the list. */
    QuarantineRecord {
        crashes = List.copyOf(crashes);
    }

    static QuarantineRecord of(long nowMs, SuspectReport.Item item) {
        return new QuarantineRecord(item.crashes(), nowMs + item.quarantineLeftMs(), item.trials());
    }

    SuspectReport.Item item(long nowMs, SuspectDigest digest) {
        return new SuspectReport.Item(
                digest, crashes, List.of(), Math.max(0, untilMs - nowMs), true, trials);
    }
}
