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
 * Encodes messages in MessagePack.
 *
 * <p>Invariants: a body is decoded only after a pass without allocations has shown that every
 * length in it is covered by its bytes; fields that a newer router added at the end are ignored.
 * Stateless; safe for use by any thread.
 */
public final class PeerCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PeerCodec() {}

    /**
     * Returns a message's body.
     *
     * @throws IllegalArgumentException if the record can't be encoded
     */
    public static byte[] encode(PeerMessage message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("can't encode " + message.getClass(), e);
        }
    }

    /** Returns the message of a body, or {@code MALFORMED_REQUEST} with what does not fit. */
    public static Either<Failure, PeerMessage> decode(
            byte[] body, Class<? extends PeerMessage> messageClass) {
        try {
            if (!lengthsFit(body)) {
                return malformed(messageClass, "its lengths don't fit its bytes");
            }
            PeerMessage message = MAPPER.readValue(body, messageClass);
            return message == null ? malformed(messageClass, "it is nil") : Either.right(message);
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
