package org.hornbeampass.protocol.peer;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * One type of message: its number on the wire, its record, and how it is used.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param number the number, from 1 to 65535, which never changes its meaning
 * @param messageClass the record
 * @param form how it is used
 */
public record PeerType(int number, Class<? extends PeerMessage> messageClass, Form form) {
    private static final int MAX_NUMBER = 0xFFFF;

    /** How a type of message is used. */
    public enum Form {
        /** Sent without a reply; may be a reply as well. */
        ONE_WAY,
        /** Sent to be replied to; may be a reply as well. */
        REQUEST,
        /** Sent only as the reply to a request. */
        REPLY
    }

    /** Checks the number's range. */
    public PeerType {
        if (number < 1 || number > MAX_NUMBER) {
            throw new IllegalArgumentException(
                    "message type number " + number + " must be from 1 to " + MAX_NUMBER);
        }
    }
}
