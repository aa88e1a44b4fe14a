package org.hornbeampass.protocol.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

import org.hornbeampass.protocol.settings.SettingsValue.Field;
import org.hornbeampass.protocol.settings.SettingsValue.Kind;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses JSON with comments and trailing commas into values that keep their positions.
 *
 * <p>Invariant: a field that an object has twice is a fault, and its first value is used. Not
 * thread-safe: an instance parses one text.
 */
final class SettingsParser {
    private static final int MAX_DEPTH = 64;
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .build();

    private final Faults mFaults;

    SettingsParser(Faults faults) {
        mFaults = faults;
    }

    /** Returns the text's only value; records a fault and returns empty if the text is not JSON. */
    Optional<SettingsValue> parse(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                mFaults.add(new Fault(1, 1, "", "the text is empty", "write a JSON object"));
                return Optional.empty();
            }
            SettingsValue value = value(parser, "", 0);
            if (parser.nextToken() != null) {
                fault(
                        parser.currentTokenLocation(),
                        "",
                        "text follows the end of the settings",
                        "keep only one JSON object");
            }
            return Optional.of(value);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            fault(
                    at == null ? JsonLocation.NA : at,
                    "",
                    "this is not JSON: " + e.getOriginalMessage(),
                    "correct the syntax; comments and trailing commas are allowed");
            return Optional.empty();
        } catch (IOException e) {
            throw new IllegalStateException("a text in memory can't be read", e);
        }
    }

    private SettingsValue value(JsonParser parser, String path, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new JsonParseException(parser, "nested deeper than " + MAX_DEPTH);
        }
        JsonLocation at = parser.currentTokenLocation();
        JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> object(parser, at, path, depth);
            case START_ARRAY -> list(parser, at, path, depth);
            case VALUE_STRING -> scalar(Kind.TEXT, at, parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> scalar(Kind.NUMBER, at, parser.getText());
            case VALUE_TRUE, VALUE_FALSE -> scalar(Kind.BOOLEAN, at, parser.getText());
            default -> scalar(Kind.NULL, at, "null");
        };
    }

    private SettingsValue object(JsonParser parser, JsonLocation at, String path, int depth)
            throws IOException {
        Map<String, Field> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonLocation nameAt = parser.currentTokenLocation();
            parser.nextToken();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            SettingsValue value = value(parser, fieldPath, depth + 1);
            Field field = new Field(nameAt.getLineNr(), nameAt.getColumnNr(), value);
            Field first = fields.putIfAbsent(name, field);
            if (first != null) {
                fault(
                        nameAt,
                        fieldPath,
                        "the field is set in line " + first.line() + " already",
                        "keep one of the two");
            }
        }
        return SettingsValue.object(at.getLineNr(), at.getColumnNr(), fields);
    }

    private SettingsValue list(JsonParser parser, JsonLocation at, String path, int depth)
            throws IOException {
        List<SettingsValue> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser, path + "[" + items.size() + "]", depth + 1));
        }
        return SettingsValue.list(at.getLineNr(), at.getColumnNr(), items);
    }

    private static SettingsValue scalar(Kind kind, JsonLocation at, String text) {
        return SettingsValue.scalar(kind, at.getLineNr(), at.getColumnNr(), text);
    }

    private void fault(JsonLocation at, String path, String problem, String remedy) {
        mFaults.add(
                new Fault(
                        Math.max(1, at.getLineNr()),
                        Math.max(1, at.getColumnNr()),
                        path,
                        problem,
                        remedy));
    }
}
