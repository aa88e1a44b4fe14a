package org.hornbeampass.coordination.service;

/**
 * What became of an entry that was shown to the board.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum EntryResult {
    /** An upstream that was not known. */
    ADDED,
    /** A newer entry of a known incarnation. */
    UPDATED,
    /** The first entry of a later incarnation: what was known of the former one is forgotten. */
    STARTED_AGAIN,
    /** An entry of an incarnation that has ended, which arrived late; it changes nothing. */
    FORMER_INCARNATION;

    /** Returns whether the entry's incarnation is the one in use from now on. */
    public boolean isAccepted() {
        return this != FORMER_INCARNATION;
    }

    /** Returns whether requests in progress at the former incarnation are lost. */
    public boolean replacesIncarnation() {
        return this == STARTED_AGAIN;
    }
}
