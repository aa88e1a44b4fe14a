package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.Map;

/**
 * Bounds the tokens of a prompt from above, without the model's tokenizer.
 *
 * <p>Tokenizers of today's models work on bytes or on longer units, so that a text never has more
 * tokens than UTF-8 bytes; a message adds a few tokens for its frame. Images and other parts given
 * by reference are outside this bound; their tokens are capped by the reservation when the request
 * is billed. Stateless; safe for use by any thread.
 */
public final class PromptBound {
    /** Tokens that the frame of one message may take. */
    static final int PER_MESSAGE = 16;

    private PromptBound() {}

    /** Returns the bound in tokens over messages, tools and response format. */
    public static long upperBound(ObjectNode body) {
        JsonNode messages = body.path("messages");
        long bound = PER_MESSAGE * (long) messages.size();
        bound += textBytes(messages);
        bound += textBytes(body.path("tools"));
        bound += textBytes(body.path("functions"));
        return bound + textBytes(body.path("response_format"));
    }

    /** Returns the bytes of all strings and numbers in a value, names of fields included. */
    private static long textBytes(JsonNode value) {
        if (value.isTextual()) {
            return utf8Bytes(value.textValue());
        }
        if (value.isObject()) {
            long sum = 0;
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                sum += utf8Bytes(field.getKey()) + textBytes(field.getValue());
            }
            return sum;
        }
        long sum = value.isValueNode() && !value.isMissingNode() ? value.asText().length() : 0;
        for (JsonNode element : value) {
            sum += textBytes(element);
        }
        return sum;
    }

    /** Returns the bytes of a text in UTF-8, counting three for each half of a surrogate pair. */
    static long utf8Bytes(String text) {
        long sum = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < 0x80) {
                sum++;
            } else {
                sum += c < 0x800 ? 2 : 3;
            }
        }
        return sum;
    }
}
