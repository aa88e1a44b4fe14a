package org.hornbeampass.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import io.vavr.control.Either;

/**
 * Encodes and decodes the JSON texts of records that are stored on the platform.
 *
 * <p>Unknown fields are ignored, so that an older VM can read records that a newer one wrote; map
 * entries are written in the order of their keys, so that equal values have equal texts.
 * Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    private Json() {}

    /** Returns a value's JSON text. */
    public static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a JSON value: " + value.getClass(), e);
        }
    }

    /**
     * Returns the value of a JSON text, or {@code INTERNAL} if the text does not match the type.
     */
    public static <T> Either<Failure, T> decode(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Either.left(unreadable(type, "null")) : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(unreadable(type, e.getOriginalMessage()));
        }
    }

    private static Failure unreadable(Class<?> type, String reason) {
        return Failure.of(
                ErrorKind.INTERNAL,
                "stored record is not a " + type.getSimpleName() + ": " + reason);
    }
}
