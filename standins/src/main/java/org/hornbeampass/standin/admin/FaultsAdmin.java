package org.hornbeampass.standin.admin;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.state.Json;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The endpoint {@code /admin/faults}: GET shows the rules, PUT sets those that it names, DELETE
 * clears all.
 *
 * <p>The body of PUT maps kinds, such as {@code lose_reply}, to {@link FaultRule}s, in which parts
 * that are left out are 0; {@code null} clears a kind. Thread-safe.
 *
 * @param <K> the kinds of fault
 */
public final class FaultsAdmin<K extends Enum<K>> {
    private static final String PATH = "/admin/faults";

    private final Faults<K> mFaults;
    private final Runnable mCleared;

    /** The answer: the rules in force, and how many calls each kind has struck. */
    private record View<K>(Map<K, FaultRule> rules, Map<K, Long> struck) {}

    /**
     * Creates the endpoint.
     *
     * @param faults the faults
     * @param cleared run after all rules were cleared
     */
    public FaultsAdmin(Faults<K> faults, Runnable cleared) {
        mFaults = faults;
        mCleared = cleared;
    }

    /** Adds the endpoint's routes. */
    public void addTo(Routes routes) {
        routes.add("GET", PATH, (now, exchange) -> show(exchange))
                .add("PUT", PATH, (now, exchange) -> put(exchange))
                .add("DELETE", PATH, (now, exchange) -> clear(exchange));
    }

    private void show(HttpExchange exchange) {
        Answers.json(exchange, Answers.OK, new View<>(mFaults.rules(), mFaults.struck()));
    }

    private void clear(HttpExchange exchange) {
        mFaults.clear();
        mCleared.run();
        show(exchange);
    }

    private void put(HttpExchange exchange) {
        try {
            apply(Json.decode(Answers.text(exchange), JsonNode.class).get());
        } catch (RuntimeException e) {
            Answers.error(exchange, Answers.BAD_REQUEST, "faults not set: " + e.getMessage());
            return;
        }
        show(exchange);
    }

    private void apply(JsonNode body) {
        Map<K, JsonNode> wanted = new EnumMap<>(mFaults.kinds());
        for (Map.Entry<String, JsonNode> field : body.properties()) {
            wanted.put(kind(field.getKey()), field.getValue());
        }
        wanted.forEach(this::apply);
    }

    private void apply(K kind, JsonNode rule) {
        if (rule.isNull()) {
            mFaults.clear(kind);
            return;
        }
        mFaults.set(kind, Json.decode(rule.toString(), FaultRule.class).get());
    }

    private K kind(String name) {
        return Enum.valueOf(mFaults.kinds(), name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
