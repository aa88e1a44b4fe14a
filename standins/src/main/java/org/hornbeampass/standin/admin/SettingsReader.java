package org.hornbeampass.standin.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import java.util.Map;

/**
 * Reads a stand-in's settings: JSON with comments, laid over the defaults part by part.
 *
 * <p>Stateless and thread-safe.
 */
public final class SettingsReader {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private SettingsReader() {}

    /**
     * Returns the defaults with the parts that a text gives.
     *
     * @param text a JSON object with comments
     * @param defaults the settings to start from
     * @param type the type of the settings
     * @throws IllegalArgumentException if the text is not JSON, or has a part that is not a setting
     */
    public static <T> T read(String text, T defaults, Class<T> type) {
        try {
            JsonNode tree = MAPPER.valueToTree(defaults);
            lay(MAPPER.readTree(text), (ObjectNode) tree);
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("settings: " + e.getOriginalMessage(), e);
        }
    }

    private static void lay(JsonNode given, ObjectNode onto) {
        for (Map.Entry<String, JsonNode> field : given.properties()) {
            JsonNode present = onto.get(field.getKey());
            if (present instanceof ObjectNode inner && field.getValue().isObject()) {
                lay(field.getValue(), inner);
            } else {
                onto.set(field.getKey(), field.getValue());
            }
        }
    }
}
