package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ModelId;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Parses and checks the body of a chat completion request.
 *
 * <p>Checks the fields that the router itself reads and leaves all others to the upstream. Each
 * failure names the field, its value and the mend. Thread-safe.
 */
public final class ChatRequestParser {
    private final ChatLimits mLimits;
    private final ObjectMapper mMapper;

    /** Makes a parser that holds requests to the given bounds. */
    public ChatRequestParser(ChatLimits limits) {
        mLimits = limits;
        JsonFactory factory =
                JsonFactory.builder()
                        .streamReadConstraints(
                                StreamReadConstraints.builder()
                                        .maxNestingDepth(limits.maxNesting())
                                        .maxStringLength(limits.maxBodyBytes())
                                        .build())
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build();
        mMapper =
                JsonMapper.builder(factory)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .build();
    }

    /** Returns the checked request, or what is wrong with it. */
    public Either<Failure, ChatRequest> parse(byte[] body) {
        if (body.length > mLimits.maxBodyBytes()) {
            return Either.left(
                    Failure.of(
                            ErrorKind.REQUEST_TOO_LARGE,
                            "the body has "
                                    + body.length
                                    + " bytes; send at most "
                                    + mLimits.maxBodyBytes()));
        }
        return readTree(body).flatMap(this::check);
    }

    private Either<Failure, ObjectNode> readTree(byte[] body) {
        try {
            JsonNode node = mMapper.readTree(body);
            if (node instanceof ObjectNode object) {
                return Either.right(object);
            }
            return malformed("the body is not a JSON object; send {\"model\": …, \"messages\": …}");
        } catch (JsonProcessingException e) {
            return malformed("the body is not valid JSON" + at(e.getLocation()) + mend(e));
        } catch (IOException e) {
            return malformed("the body can't be read; send UTF-8 JSON");
        }
    }

    private static String at(JsonLocation where) {
        return where == null
                ? ""
                : " at line " + where.getLineNr() + ", column " + where.getColumnNr();
    }

    private static String mend(JsonProcessingException e) {
        String message = e.getOriginalMessage();
        if (message.contains("nesting depth")) {
            return ": it is nested too deeply; nest less";
        }
        return message.startsWith("Duplicate field")
                ? ": a field is given twice; give it once"
                : "; correct the syntax there";
    }

    private static <T> Either<Failure, T> malformed(String message) {
        return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, message));
    }

    private Either<Failure, ChatRequest> check(ObjectNode body) {
        return checkFields(body)
                .<Either<Failure, ChatRequest>>map(Either::left)
                .orElseGet(() -> Either.right(toRequest(body)));
    }

    private Optional<Failure> checkFields(ObjectNode body) {
        return ChatFields.name(body, "model", mLimits.maxNameChars(), true)
                .or(() -> ChatFields.name(body, "adapter", mLimits.maxNameChars(), false))
                .or(() -> ChatFields.bool(body, "stream"))
                .or(() -> ChatFields.streamOptions(body))
                .or(() -> ChatFields.tokenLimits(body))
                .or(() -> ChatFields.oneChoice(body))
                .or(() -> ChatFields.messages(body, mLimits.maxMessages()));
    }

    private static ChatRequest toRequest(ObjectNode body) {
        JsonNode adapter = body.path("adapter");
        return new ChatRequest(
                new ModelId(body.path("model").textValue()),
                adapter.isTextual() ? Optional.of(adapter.textValue()) : Optional.empty(),
                body.path("stream").asBoolean(false),
                body.path("stream_options").path("include_usage").asBoolean(false),
                tokenLimit(body),
                PromptBound.upperBound(body),
                body);
    }

    private static OptionalInt tokenLimit(ObjectNode body) {
        for (String field : ChatFields.TOKEN_LIMITS) {
            if (body.path(field).isInt()) {
                return OptionalInt.of(body.path(field).intValue());
            }
        }
        return OptionalInt.empty();
    }
}
