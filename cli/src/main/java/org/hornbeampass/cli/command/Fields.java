package org.hornbeampass.cli.command;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.protocol.admin.AdminJson;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Shows a value field by field, alone or beside another.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class Fields {
    private static final String NOT_SET = "-";

    private Fields() {}

    /** Returns a table of a value's fields; nested fields have dotted names. */
    static String table(Object value) {
        TextTable table = new TextTable("FIELD", "VALUE");
        flat(value).forEach(table::row);
        return table.text();
    }

    /** Returns a table of the fields in which two values differ. */
    static String differences(Object yours, Object theirs) {
        Map<String, String> left = flat(yours);
        Map<String, String> right = flat(theirs);
        TreeSet<String> names = new TreeSet<>(left.keySet());
        names.addAll(right.keySet());
        TextTable table = new TextTable("FIELD", "YOURS", "THEIRS");
        for (String name : names) {
            if (!Objects.equals(left.get(name), right.get(name))) {
                table.row(
                        name, left.getOrDefault(name, NOT_SET), right.getOrDefault(name, NOT_SET));
            }
        }
        return table.text();
    }

    /** Returns the fields that are set as {@code name=value}, for one cell. */
    static String brief(Object value) {
        StringBuilder out = new StringBuilder();
        flat(value)
                .forEach(
                        (name, text) -> {
                            if (!text.equals(NOT_SET)) {
                                out.append(out.isEmpty() ? "" : " ");
                                out.append(name).append('=').append(text);
                            }
                        });
        return out.isEmpty() ? NOT_SET : out.toString();
    }

    private static Map<String, String> flat(Object value) {
        Map<String, String> fields = new LinkedHashMap<>();
        JsonNode tree =
                AdminJson.readAnswer(AdminJson.encode(value), JsonNode.class)
                        .getOrElseThrow(f -> new IllegalStateException(f.message()));
        add(fields, "", tree);
        return fields;
    }

    private static void add(Map<String, String> fields, String name, JsonNode node) {
        if (!node.isObject()) {
            fields.put(name, text(node));
            return;
        }
        String prefix = name.isEmpty() ? "" : name + ".";
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            add(fields, prefix + field.getKey(), field.getValue());
        }
    }

    private static String text(JsonNode node) {
        if (node.isNull()) {
            return NOT_SET;
        }
        if (!node.isArray()) {
            return node.asText();
        }
        TreeSet<String> items = new TreeSet<>();
        node.forEach(item -> items.add(item.asText()));
        return items.isEmpty() ? NOT_SET : String.join(",", items);
    }
}
