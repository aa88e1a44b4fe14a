package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.List;

/**
 * Gossip data that every message between members carries in addition to its own fields.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param digest a hash of the sender's table, equal for equal tables
 * @param revision the revision of the configuration that the sender uses
 * @param upstreamsRevision the revision of the newest change of an upstream that the sender knows
 * @param updates updates on members, of limited size
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Rumours(
        long digest, long revision, long upstreamsRevision, List<MemberUpdate> updates) {
    /** Copies the list. */
    public Rumours {
        updates = List.copyOf(updates);
    }
}
