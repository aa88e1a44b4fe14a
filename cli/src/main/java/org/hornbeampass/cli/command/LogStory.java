package org.hornbeampass.cli.command;

import com.fasterxml.jackson.databind.JsonNode;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds in routers' logs what was decided on one request, and what its VM believed then.
 *
 * <p>Invariant: lines that are no decisions are passed over. Not thread-safe.
 */
final class LogStory {
    private static final String AT = "at_ms";
    private static final String KIND = "kind";
    private static final String REQUEST = "request";
    private static final String ORGANISATION = "organisation";
    private static final String ENDED = "ended";

    private final String mRequest;
    private final List<Line> mStory = new ArrayList<>();
    private final Map<String, Line> mConfigs = new HashMap<>();
    private final Map<String, Line> mGrants = new HashMap<>();

    /**
     * A decision.
     *
     * @param vm whose log it is from
     * @param json its fields
     */
    record Line(String vm, JsonNode json) {
        long atMs() {
            return json.path(AT).asLong();
        }

        private String text(String field) {
            return json.path(field).asText();
        }

        @Override
        public String toString() {
            return vm + " " + json;
        }
    }

    /** Makes the story of one request, named by the caller's id. */
    LogStory(String request) {
        mRequest = request;
    }

    /**
     * Takes the next line of a log.
     *
     * @param source the log's name, which stands for its VM
     * @param text the line; what a collector writes before the JSON object names the VM instead
     */
    void take(String source, String text) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return;
        }
        Either<Failure, JsonNode> json = Json.decode(text.substring(brace), JsonNode.class);
        if (json.isLeft()) {
            return; // Another program's line; a router's own are whole objects.
        }
        String prefix = text.substring(0, brace).strip();
        String vm = prefix.isEmpty() ? source : prefix.substring(prefix.lastIndexOf(' ') + 1);
        take(new Line(vm, json.get()));
    }

    private void take(Line line) {
        String kind = line.text(KIND);
        if (kind.equals("config-in-force")) {
            mConfigs.put(line.vm(), line);
        }
        if (kind.startsWith("grant-") || kind.equals("tokens-borrowed")) {
            mGrants.put(line.vm() + "/" + line.text(ORGANISATION), line);
        }
        if (!line.text(REQUEST).equals(mRequest)) {
            return;
        }
        if (kind.equals(ENDED)) {
            addBelief(mConfigs.get(line.vm()));
            addBelief(mGrants.get(line.vm() + "/" + line.text(ORGANISATION)));
        }
        mStory.add(line);
    }

    private void addBelief(Line line) {
        Optional.ofNullable(line).filter(l -> !mStory.contains(l)).ifPresent(mStory::add);
    }

    /**
     * Returns the decisions on the request and what they rested on, in the order of their times.
     */
    List<Line> lines() {
        boolean found = mStory.stream().anyMatch(l -> l.text(REQUEST).equals(mRequest));
        if (!found) {
            return List.of();
        }
        return mStory.stream().sorted(Comparator.comparingLong(Line::atMs)).toList();
    }
}
