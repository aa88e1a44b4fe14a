package org.hornbeampass.protocol.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.io.IOException;
import java.util.stream.Collectors;

/**
 * Reads and writes the JSON bodies of the operators' API.
 *
 * <p>Requests are read strictly: an unknown field, a wrong type, trailing text or nesting beyond
 * {@value #MAX_NESTING} is a fault that names field, line and column. Answers are read leniently,
 * so that an older command line reads a newer router's. Thread-safe.
 */
public final class AdminJson {
    private static final int MAX_NESTING = 16;
    private static final int MAX_STRING = 64 * 1024;
    private static final int MAX_NUMBER = 32;

    private static final ObjectMapper STRICT =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING)
                                                    .maxStringLength(MAX_STRING)
                                                    .maxNumberLength(MAX_NUMBER)
                                                    .build())
                                    .build())
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .build();

    private static final ObjectMapper LENIENT =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    private AdminJson() {}

    /** Returns a value's JSON text as UTF-8. */
    public static byte[] encode(Object value) {
        try {
            return LENIENT.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a JSON value: " + value.getClass(), e);
        }
    }

    /** Returns a value's JSON text, indented for people. */
    public static String pretty(Object value) {
        try {
            return LENIENT.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a JSON value: " + value.getClass(), e);
        }
    }

    /**
     * Reads the body of a request.
     *
     * @return the value; {@code REQUEST_TOO_LARGE}, {@code MALFORMED_REQUEST} or {@code
     *     FIELD_INVALID} where it is not one
     */
    public static <T> Either<Failure, T> readRequest(byte[] body, Class<T> type) {
        if (body.length > AdminPaths.MAX_BODY_BYTES) {
            return Either.left(tooLarge(body.length));
        }
        if (body.length == 0) {
            return Either.left(
                    Failure.of(
                            ErrorKind.MALFORMED_REQUEST,
                            "the body is empty; send a JSON object with Content-Length"));
        }
        try {
            T value = STRICT.readValue(body, type);
            return value == null ? Either.left(nullBody()) : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(fault(e));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, e.getMessage()));
        }
    }

    /** Reads the body of an answer; {@code INTERNAL} where it is not one. */
    public static <T> Either<Failure, T> readAnswer(byte[] body, Class<T> type) {
        try {
            T value = LENIENT.readValue(body, type);
            return value == null ? Either.left(nullBody()) : Either.right(value);
        } catch (IOException e) {
            return Either.left(
                    Failure.of(
                            ErrorKind.INTERNAL,
                            "the answer is not a "
                                    + type.getSimpleName()
                                    + "; does the address belong to a router's admin listener of"
                                    + " the same release?"));
        }
    }

    private static Failure nullBody() {
        return Failure.of(ErrorKind.MALFORMED_REQUEST, "the body is null; send a JSON object");
    }

    private static Failure tooLarge(int length) {
        return Failure.of(
                ErrorKind.REQUEST_TOO_LARGE,
                "the body has "
                        + length
                        + " bytes; the limit is "
                        + AdminPaths.MAX_BODY_BYTES
                        + ": send a smaller one");
    }

    private static Failure fault(JsonProcessingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            String known =
                    unknown.getKnownPropertyIds().stream()
                            .map(String::valueOf)
                            .sorted()
                            .collect(Collectors.joining(", "));
            return Failure.of(
                    ErrorKind.FIELD_INVALID,
                    path(unknown)
                            + " is not a known field"
                            + at(e.getLocation())
                            + "; known are: "
                            + known);
        }
        if (e instanceof ValueInstantiationException rejected && rejected.getCause() != null) {
            return Failure.of(ErrorKind.FIELD_INVALID, rejection(rejected) + at(e.getLocation()));
        }
        if (e instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
            return Failure.of(
                    ErrorKind.FIELD_INVALID,
                    path(mapping) + ": " + firstLine(e) + at(e.getLocation()));
        }
        return Failure.of(
                ErrorKind.MALFORMED_REQUEST,
                "the body is not the JSON that is expected here: "
                        + firstLine(e)
                        + at(e.getLocation()));
    }

    private static String rejection(ValueInstantiationException e) {
        Throwable cause = e.getCause();
        String prefix = e.getPath().isEmpty() ? "" : path(e) + ": ";
        return cause instanceof NullPointerException
                ? prefix + cause.getMessage() + " is missing: set it"
                : prefix + cause.getMessage();
    }

    private static String path(JsonMappingException e) {
        return e.getPath().stream()
                .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
                .collect(Collectors.joining("."));
    }

    private static String firstLine(JsonProcessingException e) {
        String message = e.getOriginalMessage();
        int cut = message.indexOf('\n');
        String line = cut < 0 ? message : message.substring(0, cut);
        return line.replaceAll("`(?:[a-zA-Z0-9_]+\\.)+([A-Za-z0-9_$<>]+)`", "$1");
    }

    private static String at(JsonLocation where) {
        if (where == null || where.getLineNr() < 1) {
            return "";
        }
        return " (line " + where.getLineNr() + ", column " + where.getColumnNr() + ")";
    }
}
