package org.hornbeampass.coordination.platform;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The value that {@link ConditionalWriter} stores: a record and marks of the last write of each
 * recent writer.
 *
 * <p>Invariants: there is at most one mark for each writer and at most {@value #MAX_MARKS} marks,
 * the newest first; the first mark is that of the write that stored this body. Immutable; safe for
 * use by any thread.
 *
 * @param body the stored record
 * @param marks the last write of each recent writer, the newest first
 */
record StoredValue(JsonNode body, List<Mark> marks) {
    /** The maximum number of writers whose last write is kept. */
    static final int MAX_MARKS = 64;

    /**
     * Identifies one writer's last write of the object.
     *
     * @param writer the VM that wrote
     * @param sequence the sequence number that the writer gave the change
     */
    record Mark(VmId writer, long sequence) {}

    /** Whether a stored value includes a change. */
    enum Presence {
        APPLIED,
        NOT_APPLIED,
        /** Can't be determined: too many other writers have written since. */
        UNKNOWN
    }

    /** Copies the list. */
    StoredValue {
        Objects.requireNonNull(body, "body");
        marks = List.copyOf(marks);
    }

    /** Returns the value after a write, with the marks of the value before it. */
    static StoredValue after(List<Mark> before, JsonNode newBody, Mark mark) {
        List<Mark> marks = new ArrayList<>();
        marks.add(mark);
        before.stream()
                .filter(m -> !m.writer().equals(mark.writer()))
                .limit(MAX_MARKS - 1L)
                .forEach(marks::add);
        return new StoredValue(newBody, marks);
    }

    /** Returns whether this value includes the change that a mark identifies. */
    Presence presence(Mark mark) {
        for (Mark each : marks) {
            if (each.writer().equals(mark.writer())) {
                return each.sequence() == mark.sequence() ? Presence.APPLIED : Presence.NOT_APPLIED;
            }
        }
        return marks.size() < MAX_MARKS ? Presence.NOT_APPLIED : Presence.UNKNOWN;
    }
}
