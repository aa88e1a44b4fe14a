package org.hornbeampass.experiment.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One chat completion that a caller asks for, the same over all its retries.
 *
 * <p>Invariant: {@code tag} is in the prompt, so that the answer's text shows whose it is.
 * Immutable; safe for use by any thread.
 *
 * @param key the caller's key
 * @param idempotencyKey the request's name, kept over its retries
 * @param tag what each token of the answer carries
 * @param model the model asked for
 * @param tokens how long the answer is meant to be
 * @param maxTokens the token limit sent along
 * @param stream whether the answer is to be streamed
 * @param promptWords how many words stand before the question, the same in each prompt
 */
public record ChatRequest(
        String key,
        String idempotencyKey,
        String tag,
        String model,
        int tokens,
        int maxTokens,
        boolean stream,
        int promptWords)
        implements CallerRequest {
    @Override
    public boolean chat() {
        return true;
    }

    @Override
    public HttpClient.Request to(String router) {
        return new HttpClient.Request(
                "POST",
                URI.create("http://" + router + "/v1/chat/completions"),
                Map.of(
                        "authorization",
                        "Bearer " + key,
                        "content-type",
                        "application/json",
                        "idempotency-key",
                        idempotencyKey),
                body(),
                ChatCaller.CONNECT_TIMEOUT_MS,
                ChatCaller.IDLE_TIMEOUT_MS);
    }

    /** Returns the request's body in the shape that OpenAI clients speak. */
    byte[] body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", model);
        body.put("max_tokens", maxTokens);
        body.put("stream", stream);
        if (stream) {
            body.putObject("stream_options").put("include_usage", true);
        }
        ObjectNode message = body.putArray("messages").addObject();
        message.put("role", "user");
        message.put(
                "content",
                "wind ".repeat(promptWords)
                        + "[[id="
                        + tag
                        + "]] [[tokens="
                        + tokens
                        + "]] brief me");
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
