package org.hornbeampass.coordination.log;

import java.util.Objects;

/**
 * What came of an append whose place in the log is decided.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface AppendResult {
    /** The batch stands at its sequence, by this attempt or by an earlier one. */
    record Won() implements AppendResult {}

    /**
     * Another batch stands at the sequence, and this one never will.
     *
     * @param winner the batch that stands there
     */
    record Lost(LogBatch winner) implements AppendResult {
        /** Checks that the winner is given. */
        public Lost {
            Objects.requireNonNull(winner, "winner");
        }
    }
}
