package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.List;

/**
 * What every message between members carries besides its own matter.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param digest a hash of the sender's table, equal where two tables are equal
 * @param revision the configuration's revision that the sender runs
 * @param upstreamsRevision the revision of the newest change of an upstream that the sender knows
 * @param updates news of members, of bounded size
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Rumours(
        long digest, long revision, long upstreamsRevision, List<MemberUpdate> updates) {
    /** Copies the list. */
    public Rumours {
        updates = List.copyOf(updates);
    }
}
