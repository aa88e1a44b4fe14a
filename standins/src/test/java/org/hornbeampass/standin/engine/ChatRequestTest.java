package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link ChatRequest}. */
class ChatRequestTest {
    @Test
    void parse_joinsTheContentsOfAllMessages() {
        ChatRequest request =
                ChatRequest.parse(
                                """
                                {"model":"desk","max_tokens":7,"stream":true,
                                 "stream_options":{"include_usage":true},
                                 "messages":[{"role":"system","content":"ab"},
                                  {"role":"user","content":[{"type":"text","text":"cd"}]}]}
                                """)
                        .get();

        assertThat(request.prompt()).isEqualTo("abcd");
        assertThat(request.maxTokens()).hasValue(7);
        assertThat(request.stream()).isTrue();
        assertThat(request.includeUsage()).isTrue();
    }

    @Test
    void parse_withoutOptions_takesDefaults() {
        ChatRequest request =
                ChatRequest.parse("{\"model\":\"desk\",\"messages\":[{\"content\":\"a\"}]}").get();

        assertThat(request.maxTokens()).isEmpty();
        assertThat(request.stream()).isFalse();
    }

    @Test
    void parse_ofBadBody_saysWhatIsWrong() {
        assertThat(ChatRequest.parse("{").getLeft().message()).contains("not JSON");
        assertThat(ChatRequest.parse("{}").getLeft().message()).contains("messages");
        assertThat(
                        ChatRequest.parse(
                                        "{\"model\":\"m\",\"max_tokens\":0,"
                                                + "\"messages\":[{\"content\":\"a\"}]}")
                                .getLeft()
                                .message())
                .contains("max_tokens");
    }
}
