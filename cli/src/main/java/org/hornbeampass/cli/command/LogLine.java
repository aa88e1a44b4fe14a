package org.hornbeampass.cli.command;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.state.Json;

import java.util.Optional;

/**
 * One decision out of a router's log.
 *
 * <p>Immutable by convention: nobody changes the JSON; safe for use by any thread.
 *
 * @param vm whose log it is from
 * @param json its fields
 */
record LogLine(String vm, JsonNode json) {
    /**
     * Reads a line.
     *
     * @param source the log's name, which stands for its VM
     * @param text the line; what a collector writes before the JSON object names the VM instead
     * @return empty for another program's line; a router's own are whole objects
     */
    static Optional<LogLine> read(String source, String text) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        String prefix = text.substring(0, brace).strip();
        String vm = prefix.isEmpty() ? source : prefix.substring(prefix.lastIndexOf(' ') + 1);
        return Json.decode(text.substring(brace), JsonNode.class)
                .toJavaOptional()
                .map(json -> new LogLine(vm, json));
    }

    /** Returns when it was written, in milliseconds of its VM's clock. */
    long atMs() {
        return number("at_ms");
    }

    /** Returns what was decided. */
    String kind() {
        return text("kind");
    }

    /** Returns a field's text; empty where it is missing. */
    String text(String field) {
        return json.path(field).asText();
    }

    /** Returns a field's number; 0 where it is missing. */
    long number(String field) {
        return json.path(field).asLong();
    }

    /** Returns whether it has a field. */
    boolean has(String field) {
        return json.has(field);
    }

    @Override
    public String toString() {
        return vm + " " + json;
    }
}
