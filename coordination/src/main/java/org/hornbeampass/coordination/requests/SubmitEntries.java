package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Asks the owner of a shard to append entries; the reply is {@link EntriesDecided} or {@link
 * EntriesRefused}.
 *
 * <p>May be sent again safely. Immutable; safe for use by any thread.
 *
 * @param shard the shard, from 0
 * @param entries the texts of the entries
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SubmitEntries(int shard, List<String> entries) implements PeerMessage {
    /** Copies the list. */
    public SubmitEntries {
        entries = List.copyOf(entries);
    }
}
