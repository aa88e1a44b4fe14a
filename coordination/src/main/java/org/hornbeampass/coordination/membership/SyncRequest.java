package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Request for the entries in which two tables differ; answered by {@link SyncReply}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param self the sender's own entry, with details
 * @param start the bucket to begin with
 * @param buckets a hash of each bucket of the sender's table
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SyncRequest(MemberUpdate self, int start, List<Long> buckets) implements PeerMessage {
    /** Copies the list. */
    public SyncRequest {
        buckets = List.copyOf(buckets);
    }
}
