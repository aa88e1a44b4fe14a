package org.hornbeampass.coordination.requests;

import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * An entry that waits for its decision.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param entry the entry
 * @param text the entry's text in the log
 * @param local whether the entry is this VM's own, so that no other VM holds it too
 * @param done takes the time in milliseconds and the decision, with the ledger's lock not held
 */
record PendingEntry(
        RequestEntry entry, String text, boolean local, BiConsumer<Long, EntryDecision> done) {
    /** Room for the escapes of the text within a batch's JSON. */
    private static final int ESCAPE_BYTES = 24;

    /** Returns the room that the entry takes in a batch, in bytes; an upper bound for most. */
    int estimatedBytes() {
        return text.getBytes(StandardCharsets.UTF_8).length + ESCAPE_BYTES;
    }

    /** Returns the same entry, no longer as this VM's own. */
    PendingEntry asRemote() {
        return new PendingEntry(entry, text, false, done);
    }

    boolean urgent() {
        return entry instanceof RequestEntry.ClaimEntry;
    }
}
