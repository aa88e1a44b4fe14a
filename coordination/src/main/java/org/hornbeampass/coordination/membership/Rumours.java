package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.ViewRevisions;

import java.util.List;

/**
 * Gossip data that every message between members carries in addition to its own fields.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param digest a hash of the sender's table, equal for equal tables
 * @param revisions the revisions of the sender's views of the store
 * @param updates updates on members, of limited size
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Rumours(long digest, ViewRevisions revisions, List<MemberUpdate> updates) {
    /** Copies the list. */
    public Rumours {
        updates = List.copyOf(updates);
    }
}
