package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Makes the body that goes to a model engine from the one that the caller sent.
 *
 * <p>Sets the token limit and asks for usage; all else goes on as it came. Stateless; safe for use
 * by any thread.
 */
public final class UpstreamBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private UpstreamBody() {}

    /**
     * Returns the body.
     *
     * @param request the caller's request, which is not changed
     * @param completionLimit the token limit to set
     */
    public static byte[] of(ChatRequest request, long completionLimit) {
        ObjectNode body = request.body().objectNode();
        body.setAll(request.body());
        String limitField =
                body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        body.put(limitField, completionLimit);
        if (request.stream()) {
            ObjectNode options = body.objectNode();
            if (body.get("stream_options") instanceof ObjectNode given) {
                options.setAll(given);
            }
            options.put("include_usage", true);
            options.put("continuous_usage_stats", true);
            body.set("stream_options", options);
        }
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a parsed body can be written", e);
        }
    }
}
