package org.hornbeampass.transport.peer;

import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.FrameKind;

/**
 * A frame with its header and body.
 *
 * <p>Immutable, provided that callers don't modify the body; safe for use by any thread.
 */
record Frame(FrameHeader header, byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /** Returns a frame without a message. */
    static Frame control(FrameKind kind, long correlation) {
        return new Frame(FrameHeader.control(kind, correlation), NO_BODY);
    }

    /** Returns a handshake frame. */
    static Frame handshake(FrameKind kind, byte[] body) {
        return new Frame(FrameHeader.control(kind, 0), body);
    }

    /** Returns the size of the frame on the wire in bytes, including the length prefix. */
    int wireBytes() {
        return Integer.BYTES + FrameHeader.BYTES + body.length;
    }

    boolean is(FrameKind kind) {
        return header.kind().filter(kind::equals).isPresent();
    }
}
