package org.hornbeampass.coordination.log;

import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.Objects;

/**
 * Batch of entries of a {@link ShardLog}: the unit that is written and read.
 *
 * <p>Invariant: a writer uses each {@code writerSequence} for one list of entries only, so that a
 * writer recognises a stored batch as its own by the writer and the writer sequence. Immutable;
 * safe for use by any thread.
 *
 * @param sequence the batch's position in the log, from 0 without gaps
 * @param writer the VM that wrote it
 * @param writerSequence the number of the batch among those of the writer; increases with each new
 *     batch
 * @param entries the texts of the entries, in order
 */
public record LogBatch(long sequence, VmId writer, long writerSequence, List<String> entries) {
    /** Checks the numbers and copies the list. */
    public LogBatch {
        Objects.requireNonNull(writer, "writer");
        entries = List.copyOf(entries);
        if (sequence < 0 || writerSequence < 0) {
            throw new IllegalArgumentException("sequences must not be negative");
        }
    }

    /** Returns whether both are the same batch of the same writer; their sequences may differ. */
    public boolean matchesWrite(LogBatch other) {
        return writerSequence == other.writerSequence && writer.equals(other.writer);
    }

    /** Returns the same batch at another position in the log. */
    public LogBatch withSequence(long newSequence) {
        return new LogBatch(newSequence, writer, writerSequence, entries);
    }
}
