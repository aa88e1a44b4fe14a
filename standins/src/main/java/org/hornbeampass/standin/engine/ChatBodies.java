package org.hornbeampass.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

import org.hornbeampass.state.Json;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * The bodies of chat completion answers in OpenAI's shape.
 *
 * <p>Stateless and thread-safe.
 */
final class ChatBodies {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private ChatBodies() {}

    /** What all bodies of one answer share. */
    record Head(String attemptId, long createdSeconds, String model) {
        String id() {
            return "chatcmpl-" + attemptId;
        }
    }

    /** The tokens of an answer; {@code completion} counts from offset 0 also when resumed. */
    record Usage(
            @JsonProperty("prompt_tokens") int prompt,
            @JsonProperty("completion_tokens") int completion,
            @JsonProperty("total_tokens") int total) {
        static Usage of(int prompt, int completion) {
            return new Usage(prompt, completion, prompt + completion);
        }
    }

    /** A message, whole or the next part of it. */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    private record Message(Optional<String> role, Optional<String> content) {}

    /** The only choice of a whole answer. */
    private record Choice(
            int index, Message message, @JsonProperty("finish_reason") String finishReason) {}

    /** The only choice of a chunk. */
    private record ChunkChoice(
            int index,
            Message delta,
            @JsonProperty("finish_reason") Optional<String> finishReason) {}

    /** A whole answer. */
    private record Completion(
            String id,
            String object,
            long created,
            String model,
            List<Choice> choices,
            Usage usage) {}

    /** A chunk of a streamed answer. */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    private record Chunk(
            String id,
            String object,
            long created,
            String model,
            List<ChunkChoice> choices,
            Optional<Usage> usage) {}

    static byte[] whole(Head head, String text, String finishReason, Usage usage) {
        Message message = new Message(Optional.of("assistant"), Optional.of(text));
        Completion completion =
                new Completion(
                        head.id(),
                        "chat.completion",
                        head.createdSeconds(),
                        head.model(),
                        List.of(new Choice(0, message, finishReason)),
                        usage);
        return Json.encode(completion).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] token(Head head, String text, boolean first) {
        Optional<String> role = first ? Optional.of("assistant") : Optional.empty();
        Message delta = new Message(role, Optional.of(text));
        return chunk(head, List.of(new ChunkChoice(0, delta, Optional.empty())), Optional.empty());
    }

    static byte[] finish(Head head, String finishReason) {
        Message delta = new Message(Optional.empty(), Optional.empty());
        return chunk(
                head,
                List.of(new ChunkChoice(0, delta, Optional.of(finishReason))),
                Optional.empty());
    }

    static byte[] usage(Head head, Usage usage) {
        return chunk(head, List.of(), Optional.of(usage));
    }

    static byte[] done() {
        return DONE;
    }

    private static byte[] chunk(Head head, List<ChunkChoice> choices, Optional<Usage> usage) {
        Chunk chunk =
                new Chunk(
                        head.id(),
                        "chat.completion.chunk",
                        head.createdSeconds(),
                        head.model(),
                        choices,
                        usage);
        return ("data: " + Json.encode(chunk) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
