package org.hornbeampass.coordination.log;

import java.util.Objects;

/**
 * Final result of an append to a {@link ShardLog}.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface AppendResult {
    /** The batch is stored at its sequence, by this attempt or by an earlier one. */
    record Won() implements AppendResult {}

    /**
     * Another batch is stored at the sequence, so that this one never will be.
     *
     * @param winner the batch that is stored there
     */
    record Lost(LogBatch winner) implements AppendResult {
        /** Checks that the winner is not null. */
        public Lost {
            Objects.requireNonNull(winner, "winner");
        }
    }
}
