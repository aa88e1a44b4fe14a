package org.hornbeampass.protocol.peer;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * A message type: its number on the wire, its record class, and how it is used.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param number the number on the wire, from 1 to 65535; its meaning never changes
 * @param messageClass the record class
 * @param form how the message is used
 */
public record PeerType(int number, Class<? extends PeerMessage> messageClass, Form form) {
    private static final int MAX_NUMBER = 0xFFFF;

    /** How messages of a type are used. */
    public enum Form {
        /** Sent without expecting a reply; may also be sent as a reply. */
        ONE_WAY,
        /** Sent to get a reply; may also be sent as a reply itself. */
        REQUEST,
        /** Sent only in reply to a request. */
        REPLY
    }

    /** Validates the range of the number. */
    public PeerType {
        if (number < 1 || number > MAX_NUMBER) {
            throw new IllegalArgumentException(
                    "message type number " + number + " must be from 1 to " + MAX_NUMBER);
        }
    }
}
