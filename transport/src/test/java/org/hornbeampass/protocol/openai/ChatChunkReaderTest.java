package org.hornbeampass.protocol.openai;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;

/** Chunks and what is read of them. */
class ChatChunkReaderTest {
    private static ChatChunk read(String json) {
        return ChatChunkReader.read(json.getBytes(StandardCharsets.UTF_8)).orElseThrow();
    }

    @Test
    void id_isFoundByItsBytes() {
        String json = "{\"object\":\"ü\", \"id\" : \"a\\\"b\" ,\"choices\":[]}";
        ChatChunk chunk = read(json);
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        String id =
                new String(
                        bytes,
                        chunk.idStart(),
                        chunk.idEnd() - chunk.idStart(),
                        StandardCharsets.UTF_8);
        assertThat(id).isEqualTo("\"a\\\"b\"");
    }

    @Test
    void content_isADelta() {
        ChatChunk chunk =
                read("{\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"né\"}}]}");
        assertThat(chunk.hasDelta()).isTrue();
        assertThat(chunk.contentBytes()).isEqualTo(3);
    }

    @Test
    void roleAlone_isNoDelta() {
        assertThat(read("{\"choices\":[{\"delta\":{\"role\":\"a\",\"content\":\"\"}}]}").hasDelta())
                .isFalse();
    }

    @Test
    void toolCall_isADelta() {
        assertThat(read("{\"choices\":[{\"delta\":{\"tool_calls\":[{\"x\":1}]}}]}").hasDelta())
                .isTrue();
    }

    @Test
    void usageAndFinish_areRead() {
        ChatChunk chunk =
                read(
                        "{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
                                + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4,"
                                + "\"details\":{\"x\":1}}}");
        assertThat(chunk.usage()).contains(new Usage(3, 4));
        assertThat(chunk.finishReason()).contains("stop");
    }

    @Test
    void negativeUsage_isNotTaken() {
        assertThat(read("{\"usage\":{\"prompt_tokens\":-3,\"completion_tokens\":4}}").usage())
                .isEmpty();
    }

    @Test
    void brokenJson_isNoChunk() {
        assertThat(ChatChunkReader.read(new byte[] {'{', '"'})).isEmpty();
    }
}
