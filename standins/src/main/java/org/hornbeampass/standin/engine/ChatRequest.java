package org.hornbeampass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.OptionalInt;

/**
 * The parts of a chat completion request that the engine acts on.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param model the name of the model or adapter
 * @param prompt the contents of all messages, joined in order
 * @param maxTokens the limit on the answer, at least 1; empty where there is none
 * @param stream whether the answer is streamed
 * @param includeUsage whether a streamed answer ends with its usage
 */
public record ChatRequest(
        String model, String prompt, OptionalInt maxTokens, boolean stream, boolean includeUsage) {
    /** Parses a request's body in OpenAI's shape. */
    public static Either<Failure, ChatRequest> parse(String body) {
        return Json.decode(body, JsonNode.class)
                .mapLeft(f -> malformed("the body is not JSON"))
                .flatMap(ChatRequest::of);
    }

    private static Either<Failure, ChatRequest> of(JsonNode body) {
        JsonNode messages = body.path("messages");
        if (!body.path("model").isTextual() || !messages.isArray() || messages.isEmpty()) {
            return Either.left(malformed("\"model\" and \"messages\" are needed"));
        }
        JsonNode limit = body.path("max_completion_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            limit = body.path("max_tokens");
        }
        boolean limited = !limit.isMissingNode() && !limit.isNull();
        if (limited && (!limit.canConvertToInt() || limit.intValue() < 1)) {
            return Either.left(malformed("\"max_tokens\" must be an integer of at least 1"));
        }
        return Either.right(
                new ChatRequest(
                        body.path("model").textValue(),
                        prompt(messages),
                        limited ? OptionalInt.of(limit.intValue()) : OptionalInt.empty(),
                        body.path("stream").asBoolean(false),
                        body.path("stream_options").path("include_usage").asBoolean(false)));
    }

    private static String prompt(JsonNode messages) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (content.isTextual()) {
                prompt.append(content.textValue());
            }
            for (JsonNode part : content) {
                prompt.append(part.path("text").asText(""));
            }
        }
        return prompt.toString();
    }

    private static Failure malformed(String what) {
        return Failure.of(ErrorKind.MALFORMED_REQUEST, what);
    }
}
