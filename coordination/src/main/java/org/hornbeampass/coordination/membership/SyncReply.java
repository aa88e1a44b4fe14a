package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Reply to {@link SyncRequest} with the entries of buckets that differ, up to a size limit.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param covered a bit mask of the buckets whose entries are all included
 * @param more whether further buckets differ
 * @param entries the entries, with details
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SyncReply(int covered, boolean more, List<MemberUpdate> entries)
        implements PeerMessage {
    /** Copies the list. */
    public SyncReply {
        entries = List.copyOf(entries);
    }
}
