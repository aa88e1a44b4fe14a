package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks another VM for some of its unspent tokens, for good.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation's name
 * @param needed how many requests wait for; 0 where they are for requests to come
 * @param tokens how many are wanted, those needed included
 * @param atHome whether the receiver is taken for a home of the organisation's pool, which gets
 *     from the store what it lacks
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanRequest(String organisation, long needed, long tokens, boolean atHome)
        implements PeerMessage {
    /** Returns whether a request waits for them. */
    boolean waiting() {
        return needed > 0;
    }
}
