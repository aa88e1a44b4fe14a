package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.List;
import java.util.Optional;

/**
 * Checks of single fields of a chat completion request; each gives the first fault, if any.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ChatFields {
    /** The two names under which a caller may set its token limit. */
    static final List<String> TOKEN_LIMITS = List.of("max_completion_tokens", "max_tokens");

    private static final int MAX_SHOWN_CHARS = 60;

    private ChatFields() {}

    static Optional<Failure> name(ObjectNode body, String field, int maxChars, boolean required) {
        JsonNode value = body.path(field);
        if (isAbsent(value)) {
            return required ? invalid(field, "missing", "give it as a string") : Optional.empty();
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            return invalid(field, shown(value), "give a string that is not empty");
        }
        return value.textValue().length() > maxChars
                ? invalid(field, shown(value), "give at most " + maxChars + " characters")
                : Optional.empty();
    }

    static Optional<Failure> bool(ObjectNode body, String field) {
        JsonNode value = body.path(field);
        return isAbsent(value) || value.isBoolean()
                ? Optional.empty()
                : invalid(field, shown(value), "give true or false");
    }

    static Optional<Failure> streamOptions(ObjectNode body) {
        JsonNode value = body.path("stream_options");
        if (isAbsent(value)) {
            return Optional.empty();
        }
        if (!(value instanceof ObjectNode options)) {
            return invalid("stream_options", shown(value), "give an object");
        }
        return bool(options, "include_usage");
    }

    static Optional<Failure> tokenLimits(ObjectNode body) {
        for (String field : TOKEN_LIMITS) {
            JsonNode value = body.path(field);
            if (!isAbsent(value) && !(value.isInt() && value.intValue() > 0)) {
                return invalid(field, shown(value), "give a whole number of tokens, 1 or more");
            }
        }
        JsonNode first = body.path(TOKEN_LIMITS.get(0));
        JsonNode second = body.path(TOKEN_LIMITS.get(1));
        return first.isInt() && second.isInt() && first.intValue() != second.intValue()
                ? invalid(
                        TOKEN_LIMITS.get(1),
                        shown(second),
                        "it differs from max_completion_tokens "
                                + shown(first)
                                + "; give only one of them")
                : Optional.empty();
    }

    static Optional<Failure> oneChoice(ObjectNode body) {
        JsonNode value = body.path("n");
        return isAbsent(value) || (value.isInt() && value.intValue() == 1)
                ? Optional.empty()
                : invalid("n", shown(value), "give 1 or leave it out; send one request per answer");
    }

    static Optional<Failure> messages(ObjectNode body, int maxMessages) {
        JsonNode value = body.path("messages");
        if (!value.isArray() || value.isEmpty()) {
            return invalid(
                    "messages",
                    isAbsent(value) ? "missing" : shown(value),
                    "give an array with at least one message");
        }
        if (value.size() > maxMessages) {
            return invalid("messages", value.size() + " messages", "send at most " + maxMessages);
        }
        for (int i = 0; i < value.size(); i++) {
            Optional<Failure> fault = message(value.get(i), "messages[" + i + "]");
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private static Optional<Failure> message(JsonNode message, String where) {
        if (!message.isObject()) {
            return invalid(where, shown(message), "give an object with role and content");
        }
        JsonNode role = message.path("role");
        if (!role.isTextual() || role.textValue().isBlank()) {
            return invalid(
                    where + ".role",
                    isAbsent(role) ? "missing" : shown(role),
                    "give a role such as \"user\"");
        }
        JsonNode content = message.path("content");
        return isAbsent(content) || content.isTextual() || content.isArray()
                ? Optional.empty()
                : invalid(where + ".content", shown(content), "give a string or an array of parts");
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static String shown(JsonNode value) {
        String text = value.toString();
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "…";
    }

    private static Optional<Failure> invalid(String field, String value, String mend) {
        return Optional.of(
                Failure.of(
                        ErrorKind.FIELD_INVALID, "field " + field + " is " + value + "; " + mend));
    }
}
