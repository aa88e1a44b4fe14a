package org.hornbeampass.protocol.peer;

import java.util.Optional;

/**
 * The header of each frame, which follows the frame's length.
 *
 * <p>On the wire: the length of header and body in 4 bytes, then the protocol version in 1, the
 * kind in 1, the message type in 2, the correlation id in 8, all big-endian, then the body.
 * Immutable; safe for use by any thread.
 *
 * @param version the protocol version, from 1 to 255
 * @param kindNumber the number of a {@link FrameKind}, which this router may not know
 * @param typeNumber the number of a message type; 0 where the frame carries no message
 * @param correlation ties a reply to its request; 0 where there is none
 */
public record FrameHeader(int version, int kindNumber, int typeNumber, long correlation) {
    /** The version that this router speaks. */
    public static final int VERSION = 1;

    /** The header's size in bytes. */
    public static final int BYTES = 12;

    /** Returns the header of a frame that carries a message. */
    public static FrameHeader message(FrameKind kind, int typeNumber, long correlation) {
        return new FrameHeader(VERSION, kind.number(), typeNumber, correlation);
    }

    /** Returns the header of a frame without a message. */
    public static FrameHeader control(FrameKind kind, long correlation) {
        return message(kind, 0, correlation);
    }

    /** Returns the kind, if this router knows it. */
    public Optional<FrameKind> kind() {
        return version <= VERSION ? FrameKind.of(kindNumber) : Optional.empty();
    }
}
