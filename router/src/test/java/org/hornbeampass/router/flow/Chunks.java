package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.ChatChunkReader;

import java.nio.charset.StandardCharsets;

/** Creates chunks of streamed answers, and whole answers, as an upstream sends them. */
final class Chunks {
    private Chunks() {}

    static ChatChunk token(String text) {
        return read(
                "{\"id\":\"up-1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                        + text
                        + "\"},\"finish_reason\":null}]}");
    }

    static ChatChunk tokenAt(long offset, String text) {
        return read(
                "{\"id\":\"up-1\",\"token_offset\":"
                        + offset
                        + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                        + text
                        + "\"},\"finish_reason\":null}]}");
    }

    static ChatChunk finish(String reason) {
        return read(
                "{\"id\":\"up-1\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\""
                        + reason
                        + "\"}]}");
    }

    static ChatChunk usage(long prompt, long completion) {
        return read(
                "{\"id\":\"up-1\",\"choices\":[],\"usage\":{\"prompt_tokens\":"
                        + prompt
                        + ",\"completion_tokens\":"
                        + completion
                        + "}}");
    }

    static byte[] whole(String text, long prompt, long completion) {
        return ("{\"id\":\"up-1\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
                        + "\"content\":\""
                        + text
                        + "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":"
                        + prompt
                        + ",\"completion_tokens\":"
                        + completion
                        + "}}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static ChatChunk read(String json) {
        return ChatChunkReader.read(json.getBytes(StandardCharsets.UTF_8)).orElseThrow();
    }
}
