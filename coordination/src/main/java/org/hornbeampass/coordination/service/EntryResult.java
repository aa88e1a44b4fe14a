package org.hornbeampass.coordination.service;

/**
 * How the registry handled an upstream's entry.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum EntryResult {
    /** The entry of an upstream that was not known. */
    ADDED,
    /** A newer entry of a known incarnation. */
    UPDATED,
    /**
     * The first entry of a later incarnation; everything known about the former one is discarded.
     */
    STARTED_AGAIN,
    /** A late entry of an incarnation that has ended; it is ignored. */
    FORMER_INCARNATION;

    /** Returns whether the entry was applied, so that its incarnation is now the current one. */
    public boolean isAccepted() {
        return this != FORMER_INCARNATION;
    }

    /**
     * Returns whether the entry replaced a former incarnation, whose requests in progress are lost.
     */
    public boolean replacesIncarnation() {
        return this == STARTED_AGAIN;
    }
}
