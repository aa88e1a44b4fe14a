package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Joins the texts of a prompt in their order, as engines do before they cache its prefix.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class PromptText {
    private PromptText() {}

    /** Returns the contents of all messages of a request, with nothing between them. */
    public static CharSequence of(ObjectNode body) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            JsonNode content = message.path("content");
            if (content.isTextual()) {
                text.append(content.textValue());
            }
            for (JsonNode part : content) {
                text.append(part.path("text").asText(""));
            }
        }
        return text;
    }
}
