package org.hornbeampass.protocol.peer;

import java.util.Optional;

/**
 * The purpose of a frame.
 *
 * <p>Invariant: the ordinal of a constant is its number on the wire, so new constants are appended
 * at the end. Immutable; safe for use by any thread.
 */
public enum FrameKind {
    /** The first frame of a connection, sent by the connecting side. */
    HELLO(0),
    /** The listening side's reply to {@link #HELLO}, with its proof. */
    CHALLENGE(1),
    /** The connecting side's proof. */
    PROOF(2),
    /** A message without a reply. */
    ONE_WAY(3),
    /** A message that expects a reply with the same correlation id. */
    REQUEST(4),
    /** The reply to a request. */
    REPLY(5),
    /**
     * The response to a request of a type that the receiver does not know or has no handler for.
     */
    UNSUPPORTED(6),
    /** The response to a request whose handler failed. */
    FAILED(7),
    /** Checks whether the connection is still alive. */
    PING(8),
    /** The response to {@link #PING}. */
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

    /** Returns the kind with the given number, or empty if this router does not know it. */
    public static Optional<FrameKind> of(int number) {
        return number < KINDS.length ? Optional.of(KINDS[number]) : Optional.empty();
    }
}
