package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hornbeampass.state.ModelId;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A chat completion request whose known fields have been checked.
 *
 * <p>Invariant: the body is not changed after parsing, so the value is safe for use by any thread.
 *
 * @param model the model asked for
 * @param adapter the adapter asked for, if any
 * @param stream whether the answer is to be streamed
 * @param includeUsage whether a streamed answer is to end with a usage chunk
 * @param maxCompletionTokens the caller's token limit, if it set one
 * @param promptTokensBound no tokenizer on bytes or larger units makes more tokens of the prompt
 * @param body the whole body as it came, unknown fields included
 */
public record ChatRequest(
        ModelId model,
        Optional<String> adapter,
        boolean stream,
        boolean includeUsage,
        OptionalInt maxCompletionTokens,
        long promptTokensBound,
        ObjectNode body) {
    /** Checks that no part is missing. */
    public ChatRequest {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(maxCompletionTokens, "maxCompletionTokens");
        Objects.requireNonNull(body, "body");
    }
}
