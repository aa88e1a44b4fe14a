package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Answers {@link SubmitEntries} with the decision on each entry, in their order.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param decisions the decisions
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntriesDecided(List<EntryDecision> decisions) implements PeerMessage {
    /** Copies the list. */
    public EntriesDecided {
        decisions = List.copyOf(decisions);
    }
}
