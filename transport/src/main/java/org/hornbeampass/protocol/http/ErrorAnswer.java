package org.hornbeampass.protocol.http;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The HTTP answer to a failure, in the one shape that all listeners use.
 *
 * <p>Invariant: status, body and headers come from the failure's kind alone, but for its message
 * and its hint of when to retry. Immutable, but for the body, which nobody changes; safe for use by
 * any thread.
 *
 * @param status the HTTP status
 * @param headers {@code content-type}, and where known {@code retry-after} in whole seconds and
 *     {@code retry-after-ms}
 * @param body the JSON text in UTF-8
 */
public record ErrorAnswer(int status, Map<String, String> headers, byte[] body) {
    /** States in a router's own answer whether the request ran, to the router that forwarded it. */
    public static final String RUN_STATE_HEADER = "router-run-state";

    private static final String CONTENT_TYPE = "application/json";
    private static final long MS_PER_SECOND = 1000;

    /** Copies the headers. */
    public ErrorAnswer {
        headers = Map.copyOf(headers);
    }

    /** The whole body: one field, so that a caller can tell it from an answer. */
    private record Body(Detail error) {}

    /** What went wrong, as the caller's program reads it. */
    private record Detail(
            String type,
            String code,
            String message,
            boolean retryable,
            @JsonProperty("run_state") String runState) {}

    /** Returns the answer to a failure. */
    public static ErrorAnswer of(Failure failure) {
        return new ErrorAnswer(
                failure.kind().httpStatus(),
                headers(failure.retryAfterMs()),
                text(failure).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body as text, for use inside a stream of events. */
    public static String text(Failure failure) {
        return Json.encode(
                new Body(
                        new Detail(
                                failure.kind().type(),
                                failure.kind().code(),
                                failure.message(),
                                failure.kind().retryable(),
                                failure.kind().runState().wireName())));
    }

    /**
     * Returns the headers for the caller of a relayed request: with the run state, and with the
     * hint of when to retry as {@code retry-after} in seconds with fractions.
     */
    public static Map<String, String> relayHeaders(Failure failure) {
        Map<String, String> result = new HashMap<>(headers(failure.retryAfterMs()));
        result.put(RUN_STATE_HEADER, failure.kind().runState().wireName());
        failure.retryAfterMs()
                .ifPresent(
                        ms ->
                                result.put(
                                        "retry-after",
                                        String.format(
                                                Locale.ROOT,
                                                "%d.%03d",
                                                ms / MS_PER_SECOND,
                                                ms % MS_PER_SECOND)));
        return result;
    }

    private static Map<String, String> headers(OptionalLong retryAfterMs) {
        if (retryAfterMs.isEmpty()) {
            return Map.of("content-type", CONTENT_TYPE);
        }
        long ms = Math.max(0, retryAfterMs.getAsLong());
        long wholeSeconds = (ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
        return Map.of(
                "content-type",
                CONTENT_TYPE,
                "retry-after",
                Long.toString(wholeSeconds),
                "retry-after-ms",
                Long.toString(ms));
    }
}
