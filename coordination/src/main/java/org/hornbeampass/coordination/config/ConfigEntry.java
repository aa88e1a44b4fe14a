package org.hornbeampass.coordination.config;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;

import java.util.Objects;

/**
 * One accepted configuration change with its position in the log.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the position in the log, from 1, which is the revision that the change produces
 * @param proposer the VM that proposed the change
 * @param proposal the proposer's sequence number for the change, unique per proposer
 * @param previous the hash of the history before this entry; empty for the first entry
 * @param change the change
 */
record ConfigEntry(
        long revision, VmId proposer, long proposal, String previous, ConfigChange change) {
    ConfigEntry {
        Objects.requireNonNull(proposer, "proposer");
        Objects.requireNonNull(previous, "previous");
        Objects.requireNonNull(change, "change");
    }
}
