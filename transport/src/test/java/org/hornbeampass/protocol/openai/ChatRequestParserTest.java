package org.hornbeampass.protocol.openai;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ModelId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.nio.charset.StandardCharsets;

/** Request bodies and what the parser finds in them. */
class ChatRequestParserTest {
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
    private final ChatRequestParser mParser = new ChatRequestParser(new ChatLimits(500, 8, 2, 10));

    private Either<Failure, ChatRequest> parse(String json) {
        return mParser.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void fullRequest_isRead() {
        ChatRequest request =
                parse(
                                "{\"model\":\"m\",\"stream\":true,\"max_tokens\":9,"
                                        + "\"adapter\":\"a\","
                                        + "\"stream_options\":{\"include_usage\":true},"
                                        + MESSAGES
                                        + "}")
                        .get();
        assertThat(request.model()).isEqualTo(new ModelId("m"));
        assertThat(request.adapter()).contains("a");
        assertThat(request.stream()).isTrue();
        assertThat(request.includeUsage()).isTrue();
        assertThat(request.maxCompletionTokens()).hasValue(9);
    }

    @Test
    void unknownFields_areKept() {
        ChatRequest request = parse("{\"model\":\"m\",\"top_k\":3," + MESSAGES + "}").get();
        assertThat(request.body().path("top_k").intValue()).isEqualTo(3);
    }

    @Test
    void promptBound_coversBytesAndFrames() {
        ChatRequest request = parse("{\"model\":\"m\"," + MESSAGES + "}").get();
        int bytes = "role".length() + "user".length() + "content".length() + "hi".length();
        assertThat(request.promptTokensBound()).isEqualTo(PromptBound.PER_MESSAGE + bytes);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "{}                                         | field model is missing",
                "{\"model\":5}                              | field model is 5",
                "{\"model\":\"a name too long\"}            | at most 10 characters",
                "{\"model\":\"m\",\"stream\":\"yes\"}       | field stream is \"yes\"; give true or"
                        + " false",
                "{\"model\":\"m\",\"max_tokens\":0}         | field max_tokens is 0; give a whole"
                        + " number",
                "{\"model\":\"m\",\"max_tokens\":1.5}       | field max_tokens is 1.5",
                "{\"model\":\"m\",\"max_tokens\":99999999999} | field max_tokens is 99999999999",
                "{\"model\":\"m\",\"max_tokens\":1,\"max_completion_tokens\":2} | differs from",
                "{\"model\":\"m\",\"n\":2}                  | field n is 2; give 1",
                "{\"model\":\"m\"}                          | field messages is missing",
                "{\"model\":\"m\",\"messages\":[]}          | field messages is []",
                "{\"model\":\"m\",\"messages\":[{},{},{}]}  | 3 messages; send at most 2",
                "{\"model\":\"m\",\"messages\":[{}]}        | field messages[0].role is missing",
                "{\"model\":\"m\",\"messages\":[7]}         | field messages[0] is 7",
                "{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":1}]} |"
                        + " messages[0].content is 1"
            })
    void faultyField_isNamedWithValueAndMend(String json, String message) {
        Failure failure = parse(json).getLeft();
        assertThat(failure.kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(failure.message()).contains(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "{\"model\":     | not valid JSON at line 1",
                "[]              | not a JSON object",
                "{} {}           | not valid JSON",
                "{\"a\":1,\"a\":2} | given twice",
                "{\"a\":[[[[[[[[[]]]]]]]]]} | nested too deeply",
                "''              | not valid JSON"
            })
    void brokenBody_isMalformed(String json, String message) {
        Failure failure = parse(json).getLeft();
        assertThat(failure.kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
        assertThat(failure.message()).contains(message);
    }

    @Test
    void emptyBody_isMalformed() {
        assertThat(parse("").getLeft().kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }

    @Test
    void largeBody_isTooLarge() {
        assertThat(parse(" ".repeat(501)).getLeft().kind()).isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
    }
}
