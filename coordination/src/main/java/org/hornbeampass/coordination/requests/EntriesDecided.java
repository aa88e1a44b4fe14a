package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Reply to {@link SubmitEntries} with the decision on each entry.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param decisions the decisions, in the order of the submitted entries
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntriesDecided(List<EntryDecision> decisions) implements PeerMessage {
    /** Copies the list. */
    public EntriesDecided {
        decisions = List.copyOf(decisions);
    }
}
