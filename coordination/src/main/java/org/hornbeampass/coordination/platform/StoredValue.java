package org.hornbeampass.coordination.platform;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What {@link ConditionalWriter} stores: the body, who wrote it, and the last write of each writer
 * before that.
 *
 * <p>Invariants: at most one mark for each writer, the newest first, at most {@value #MAX_MARKS};
 * the first mark is that of the writer of this body. Immutable; safe for use by any thread.
 *
 * @param body the stored record
 * @param marks the last write of each recent writer
 */
record StoredValue(JsonNode body, List<Mark> marks) {
    /** How many writers are remembered. */
    static final int MAX_MARKS = 64;

    /**
     * One writer's last write of the object.
     *
     * @param writer the VM that wrote
     * @param sequence the number that it gave the change
     */
    record Mark(VmId writer, long sequence) {}

    /** Whether a change is in a stored value. */
    enum Presence {
        APPLIED,
        NOT_APPLIED,
        /** So many others wrote since that it can't be told any more. */
        FORGOTTEN
    }

    /** Copies the list. */
    StoredValue {
        Objects.requireNonNull(body, "body");
        marks = List.copyOf(marks);
    }

    /** Returns the value after a writer's change. */
    static StoredValue after(List<Mark> before, JsonNode newBody, Mark mark) {
        List<Mark> marks = new ArrayList<>();
        marks.add(mark);
        before.stream()
                .filter(m -> !m.writer().equals(mark.writer()))
                .limit(MAX_MARKS - 1L)
                .forEach(marks::add);
        return new StoredValue(newBody, marks);
    }

    /** Returns whether the change that a mark stands for was applied to this value. */
    Presence presence(Mark mark) {
        for (Mark each : marks) {
            if (each.writer().equals(mark.writer())) {
                return each.sequence() == mark.sequence() ? Presence.APPLIED : Presence.NOT_APPLIED;
            }
        }
        return marks.size() < MAX_MARKS ? Presence.NOT_APPLIED : Presence.FORGOTTEN;
    }
}
