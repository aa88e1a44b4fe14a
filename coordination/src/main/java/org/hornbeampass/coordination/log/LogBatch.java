package org.hornbeampass.coordination.log;

import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.Objects;

/**
 * One batch of entries of a {@link ShardLog}: the unit that is written and read.
 *
 * <p>Invariant: a writer uses each {@code writerSequence} for one list of entries only, so that the
 * pair of writer and writer sequence tells a writer that a stored batch is its own. Immutable; safe
 * for use by any thread.
 *
 * @param sequence the batch's place in the log, from 0 without gaps
 * @param writer the VM that wrote it
 * @param writerSequence numbers the writer's batches; grows with each new batch of the writer
 * @param entries the entries' texts, in their order
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

    /** Returns whether both were written by the same VM as the same batch. */
    public boolean matchesWrite(LogBatch other) {
        return writerSequence == other.writerSequence && writer.equals(other.writer);
    }

    /** Returns the same entries at another place in the log. */
    public LogBatch withSequence(long newSequence) {
        return new LogBatch(newSequence, writer, writerSequence, entries);
    }
}
