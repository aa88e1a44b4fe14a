package org.hornbeampass.protocol.peer;

import java.util.Optional;

/**
 * What a frame is for.
 *
 * <p>Invariant: a constant's place in the list is its number on the wire, so new ones go to the
 * end. Immutable; safe for use by any thread.
 */
public enum FrameKind {
    /** The connecting side's first frame. */
    HELLO(0),
    /** The listening side's answer to it, with its proof. */
    CHALLENGE(1),
    /** The connecting side's proof. */
    PROOF(2),
    /** A message without a reply. */
    ONE_WAY(3),
    /** A message that is replied to under its correlation id. */
    REQUEST(4),
    /** The reply to a request. */
    REPLY(5),
    /** The answer to a request of a type that the receiver does not know or does not handle. */
    UNSUPPORTED(6),
    /** The answer to a request whose handler failed. */
    FAILED(7),
    /** Asks whether the connection still carries anything. */
    PING(8),
    /** Answers a ping. */
    PONG(9);

    private static final FrameKind[] KINDS = values();

    private final int mNumber;

    FrameKind(int number) {
        mNumber = number;
    }

    /** Returns the number on the wire. */
    public int number() {
        return mNumber;
    }

    /** Returns the kind with a number, if this router knows it. */
    public static Optional<FrameKind> of(int number) {
        return number < KINDS.length ? Optional.of(KINDS[number]) : Optional.empty();
    }
}
