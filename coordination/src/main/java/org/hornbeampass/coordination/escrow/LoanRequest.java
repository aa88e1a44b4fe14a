package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks another VM for some of its unspent tokens, which are not paid back.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation the organisation's name
 * @param needed the tokens that requests wait for; 0 if the tokens are for future requests
 * @param tokens the tokens wanted, including those needed
 * @param atHome whether the sender takes the receiver for a home of the organisation's pool, which
 *     gets missing tokens from the store
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanRequest(String organisation, long needed, long tokens, boolean atHome)
        implements PeerMessage {
    /** Returns whether a request waits for the tokens. */
    boolean waiting() {
        return needed > 0;
    }
}
