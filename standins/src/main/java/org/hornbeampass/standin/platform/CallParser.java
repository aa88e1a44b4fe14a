package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.transport.http.HttpExchange;

import java.time.Duration;
import java.util.Optional;

/**
 * Reads a platform call from an HTTP request, by {@link PlatformPaths}.
 *
 * <p>Stateless and thread-safe.
 */
final class CallParser {
    private static final long MAX_WAIT_MS = 120_000;
    private static final int MAX_LIMIT = 10_000;

    private CallParser() {}

    /**
     * Returns the call; empty where the request is none.
     *
     * @throws IllegalArgumentException if a parameter is missing or not a number
     */
    static Optional<PlatformCall> parse(HttpExchange exchange) {
        if (exchange.path().equals(PlatformPaths.WATCH)) {
            return Optional.of(watch(exchange));
        }
        if (exchange.path().equals(PlatformPaths.OBJECTS)) {
            return Optional.of(list(exchange));
        }
        return PlatformPaths.key(exchange.path()).flatMap(key -> onObject(exchange, key));
    }

    private static Optional<PlatformCall> onObject(HttpExchange exchange, String key) {
        return switch (exchange.method()) {
            case "GET" -> Optional.of(new PlatformCall.Get(key));
            case "POST" -> Optional.of(new PlatformCall.Create(key, Answers.text(exchange)));
            case "PUT" ->
                    Optional.of(
                            new PlatformCall.Update(
                                    key,
                                    Answers.text(exchange),
                                    number(exchange, PlatformPaths.VERSION)));
            case "DELETE" ->
                    Optional.of(
                            new PlatformCall.Delete(key, number(exchange, PlatformPaths.VERSION)));
            default -> Optional.empty();
        };
    }

    private static PlatformCall watch(HttpExchange exchange) {
        long waitMs = Math.min(MAX_WAIT_MS, number(exchange, PlatformPaths.WAIT_MS));
        return new PlatformCall.Watch(
                exchange.query(PlatformPaths.PREFIX).orElse(""),
                number(exchange, PlatformPaths.AFTER),
                Duration.ofMillis(waitMs));
    }

    private static PlatformCall list(HttpExchange exchange) {
        long limit = number(exchange, PlatformPaths.LIMIT);
        return new PlatformCall.ListObjects(
                exchange.query(PlatformPaths.PREFIX).orElse(""),
                exchange.query(PlatformPaths.AFTER).orElse(""),
                (int) Math.max(1, Math.min(MAX_LIMIT, limit)));
    }

    private static long number(HttpExchange exchange, String name) {
        return exchange.query(name)
                .map(Long::parseLong)
                .orElseThrow(() -> new IllegalArgumentException("\"" + name + "\" is needed"));
    }
}
