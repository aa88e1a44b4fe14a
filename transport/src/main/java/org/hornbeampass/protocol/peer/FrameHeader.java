package org.hornbeampass.protocol.peer;

import java.util.Optional;

/**
 * The header of a frame, which follows the frame's length prefix.
 *
 * <p>Wire format, all numbers big-endian: the length of header and body (4 bytes), the protocol
 * version (1 byte), the kind (1 byte), the message type (2 bytes), the correlation id (8 bytes),
 * and then the body. Immutable; safe for use by any thread.
 *
 * @param version the protocol version, from 1 to 255
 * @param kindNumber the number of a {@link FrameKind}; may be unknown to this router
 * @param typeNumber the number of a message type; 0 where the frame carries no message
 * @param correlation the correlation id that matches a reply to its request; 0 if there is none
 */
public record FrameHeader(int version, int kindNumber, int typeNumber, long correlation) {
    /** The highest protocol version that this router supports. */
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

    /** Returns the kind, or empty if this router does not know the kind or the version. */
    public Optional<FrameKind> kind() {
        return version <= VERSION ? FrameKind.of(kindNumber) : Optional.empty();
    }
}
