package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Asks another VM for some of its unspent tokens, for good.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param organisation the organisation's name
 * @param tokens how many are wanted
 * @param waiting whether a request waits for them; otherwise they are for requests to come
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoanRequest(String organisation, long tokens, boolean waiting)
        implements PeerMessage {}
