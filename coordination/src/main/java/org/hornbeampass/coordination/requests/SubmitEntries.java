package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Asks a shard's owner to append entries; answered {@link EntriesDecided} or {@link
 * EntriesRefused}.
 *
 * <p>Safe to send again. Immutable; safe for use by any thread.
 *
 * @param shard the shard, from 0
 * @param entries the entries' texts
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SubmitEntries(int shard, List<String> entries) implements PeerMessage {
    /** Copies the list. */
    public SubmitEntries {
        entries = List.copyOf(entries);
    }
}
