package org.hornbeampass.coordination.requests;

import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * An entry that waits for its decision.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param entry the entry
 * @param text the text of the entry in the log
 * @param local whether the entry comes from this VM, so that no other VM holds it too
 * @param done called with the time in milliseconds and the decision, without the ledger's lock
 */
record PendingEntry(
        RequestEntry entry, String text, boolean local, BiConsumer<Long, EntryDecision> done) {
    /** Allowance for escaping the text within the JSON of a batch. */
    private static final int ESCAPE_BYTES = 24;

    /** Returns how many bytes the entry takes in a batch; an upper bound for most entries. */
    int estimatedBytes() {
        return text.getBytes(StandardCharsets.UTF_8).length + ESCAPE_BYTES;
    }

    /** Returns the same entry, marked as not coming from this VM. */
    PendingEntry asRemote() {
        return new PendingEntry(entry, text, false, done);
    }

    boolean urgent() {
        return entry instanceof RequestEntry.ClaimEntry;
    }
}
