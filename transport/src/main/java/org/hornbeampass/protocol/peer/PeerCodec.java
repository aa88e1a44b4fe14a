package org.hornbeampass.protocol.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import java.io.IOException;

/**
 * Encodes and decodes messages between routers as MessagePack.
 *
 * <p>Invariants: before a body is decoded, a pass that allocates nothing checks that every length
 * declared in it fits the bytes received; trailing fields added by a newer router are ignored.
 * Stateless; safe for use by any thread.
 */
public final class PeerCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PeerCodec() {}

    /**
     * Returns the encoded body of a message.
     *
     * @throws IllegalArgumentException if the message can't be encoded
     */
    public static byte[] encode(PeerMessage message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("can't encode " + message.getClass(), e);
        }
    }

    /** Decodes a body; returns {@code MALFORMED_REQUEST} with the reason if it is malformed. */
    public static Either<Failure, PeerMessage> decode(
            byte[] body, Class<? extends PeerMessage> messageClass) {
        try {
            if (!lengthsFit(body)) {
                return malformed(messageClass, "declared lengths don't match the bytes received");
            }
            PeerMessage message = MAPPER.readValue(body, messageClass);
            return message == null
                    ? malformed(messageClass, "the value is nil")
                    : Either.right(message);
        } catch (IOException | RuntimeException e) {
            return malformed(messageClass, String.valueOf(e.getMessage()));
        }
    }

    private static boolean lengthsFit(byte[] body) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            unpacker.skipValue();
            return !unpacker.hasNext();
        } catch (MessagePackException e) {
            return false;
        }
    }

    private static Either<Failure, PeerMessage> malformed(Class<?> messageClass, String reason) {
        return Either.left(
                Failure.of(
                        ErrorKind.MALFORMED_REQUEST,
                        "not a " + messageClass.getSimpleName() + ": " + reason));
    }
}
