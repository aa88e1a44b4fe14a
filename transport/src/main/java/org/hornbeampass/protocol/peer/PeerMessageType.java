package org.hornbeampass.protocol.peer;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * The closed list of messages between routers.
 *
 * <p>Numbers are never given to another message: membership takes 1 to 19, configuration 20 to 39,
 * budgets 40 to 59, requests 60 to 79, routing 80 to 99. A router that does not know a number
 * counts it and, for a request, answers that it is unsupported. Immutable; safe for use by any
 * thread.
 */
public enum PeerMessageType {
// One line for each message: NAME(number, Record.class, PeerType.Form.ONE_WAY or REQUEST or REPLY),
;

    private final int mNumber;
    private final Class<? extends PeerMessage> mMessageClass;
    private final PeerType.Form mForm;

    @SuppressWarnings("UnusedMethod") // until the first message is listed
    PeerMessageType(int number, Class<? extends PeerMessage> messageClass, PeerType.Form form) {
        mNumber = number;
        mMessageClass = messageClass;
        mForm = form;
    }

    /** Returns the message's number, record and form. */
    public PeerType type() {
        return new PeerType(mNumber, mMessageClass, mForm);
    }
}
