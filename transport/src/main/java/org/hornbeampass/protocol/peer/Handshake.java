package org.hornbeampass.protocol.peer;

import org.hornbeampass.state.VmId;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;

/**
 * Encodes and decodes the bodies of the handshake frames.
 *
 * <p>The layouts are fixed and length fields are limited to one byte, because these frames are read
 * before the other side is authenticated. The messages are immutable, provided that callers don't
 * modify their byte arrays; safe for use by any thread.
 */
public final class Handshake {
    /** The size of a nonce in bytes. */
    public static final int NONCE_BYTES = 32;

    /** The size of a proof in bytes. */
    public static final int PROOF_BYTES = 32;

    /** The maximum size of a handshake frame in bytes, including its header. */
    public static final int MAX_FRAME_BYTES = 1024;

    private static final int MAX_NAME_BYTES = 255;

    private Handshake() {}

    /**
     * The first message of the handshake: identifies the connecting side and the VM that it wants
     * to reach.
     *
     * @param version the highest protocol version that the connecting side supports
     * @param from the connecting VM
     * @param to the name of the VM that it wants to reach
     * @param nonce the connecting side's random bytes
     */
    public record Hello(int version, VmId from, String to, byte[] nonce) {
        /** Returns the frame's body. */
        public byte[] encode() {
            return Handshake.encode(
                    out -> putName(putVm(out.put((byte) version), from), to).put(nonce));
        }

        /** Decodes a frame's body; returns empty if it is malformed. */
        public static Optional<Hello> decode(byte[] body) {
            return Handshake.decode(
                    body, in -> new Hello(in.get() & 0xFF, vm(in), name(in), bytes(in)));
        }
    }

    /**
     * The listening side's reply: identifies it and proves that it holds the cluster key.
     *
     * @param version the highest protocol version that the listening side supports
     * @param from the listening VM
     * @param nonce the listening side's random bytes
     * @param proof the listening side's proof, see {@link HandshakeProof}
     */
    public record Challenge(int version, VmId from, byte[] nonce, byte[] proof) {
        /** Returns the frame's body. */
        public byte[] encode() {
            return Handshake.encode(
                    out -> putVm(out.put((byte) version), from).put(nonce).put(proof));
        }

        /** Decodes a frame's body; returns empty if it is malformed. */
        public static Optional<Challenge> decode(byte[] body) {
            return Handshake.decode(
                    body, in -> new Challenge(in.get() & 0xFF, vm(in), bytes(in), bytes(in)));
        }
    }

    private static byte[] encode(Function<ByteBuffer, ByteBuffer> writer) {
        try {
            ByteBuffer out = writer.apply(ByteBuffer.allocate(MAX_FRAME_BYTES));
            byte[] body = new byte[out.flip().remaining()];
            out.get(body);
            return body;
        } catch (BufferOverflowException e) {
            throw new IllegalArgumentException("handshake message too large", e);
        }
    }

    private static <T> Optional<T> decode(byte[] body, Function<ByteBuffer, T> reader) {
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            T message = reader.apply(in);
            return in.hasRemaining() ? Optional.empty() : Optional.of(message);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ByteBuffer putVm(ByteBuffer out, VmId vm) {
        return putName(out, vm.name()).putLong(vm.incarnation());
    }

    private static ByteBuffer putName(ByteBuffer out, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException(
                    "VM name must have at most " + MAX_NAME_BYTES + " bytes: " + name);
        }
        return out.put((byte) bytes.length).put(bytes);
    }

    private static VmId vm(ByteBuffer in) {
        return new VmId(name(in), in.getLong());
    }

    private static String name(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & 0xFF];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer in) {
        byte[] bytes = new byte[NONCE_BYTES];
        in.get(bytes);
        return bytes;
    }
}
