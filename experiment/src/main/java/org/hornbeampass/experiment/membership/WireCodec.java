package org.hornbeampass.experiment.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes messages as MessagePack, to count real sizes and real work.
 *
 * <p>Thread-safe.
 */
final class WireCodec {
    /** Frame header of the project's protocol (about 12) and headers of IP and TCP (40). */
    static final int HEADER_BYTES = 52;

    private final ObjectMapper mMapper =
            new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());

    byte[] encode(PeerMessage message) {
        try {
            return mMapper.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    <M> M decode(byte[] bytes, Class<M> type) {
        try {
            return mMapper.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
