package org.hornbeampass.coordination.config;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;

import java.util.Objects;

/**
 * One accepted change in its place in the log.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision its place in the one order, from 1
 * @param proposer the VM that wrote it
 * @param proposal the proposer's number of it, unique per proposer
 * @param previous the history's hash before it; empty before the first one
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
