package org.hornbeampass.transport.platform;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.protocol.platform.PlatformBodies;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.state.Json;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** Serves a {@link MemoryPlatform} over HTTP with the platform's object API, for tests. */
final class PlatformEndpoint implements HttpHandler {
    private final MemoryPlatform mPlatform = new MemoryPlatform();

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        mPlatform.submit(nowMs, call(exchange), (atMs, reply) -> answer(exchange, reply));
        mPlatform.expireWatches(Long.MAX_VALUE);
    }

    private static PlatformCall call(HttpExchange exchange) {
        Optional<String> key = PlatformPaths.key(exchange.path());
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        long version = number(exchange, PlatformPaths.VERSION);
        String prefix = exchange.query(PlatformPaths.PREFIX).orElse("");
        return switch (exchange.method()) {
            case "POST" -> new PlatformCall.Create(key.orElseThrow(), body);
            case "PUT" -> new PlatformCall.Update(key.orElseThrow(), body, version);
            case "DELETE" -> new PlatformCall.Delete(key.orElseThrow(), version);
            default -> read(exchange, key, prefix);
        };
    }

    private static PlatformCall read(HttpExchange exchange, Optional<String> key, String prefix) {
        if (key.isPresent()) {
            return new PlatformCall.Get(key.get());
        }
        if (exchange.path().equals(PlatformPaths.WATCH)) {
            return new PlatformCall.Watch(
                    prefix,
                    number(exchange, PlatformPaths.AFTER),
                    Duration.ofMillis(number(exchange, PlatformPaths.WAIT_MS)));
        }
        return new PlatformCall.ListObjects(
                prefix,
                exchange.query(PlatformPaths.AFTER).orElse(""),
                (int) number(exchange, PlatformPaths.LIMIT));
    }

    private static long number(HttpExchange exchange, String name) {
        return Long.parseLong(exchange.query(name).filter(t -> t.matches("\\d+")).orElse("0"));
    }

    private static void answer(HttpExchange exchange, PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            respond(exchange, 200, PlatformBodies.ObjectBody.of(found.object()));
        } else if (reply instanceof PlatformReply.Missing) {
            respond(exchange, PlatformPaths.STATUS_NOT_FOUND, Map.of());
        } else if (reply instanceof PlatformReply.Listed listed) {
            respond(
                    exchange,
                    200,
                    new PlatformBodies.ListBody(
                            listed.objects().stream().map(PlatformBodies.ObjectBody::of).toList(),
                            listed.more(),
                            listed.storeVersion()));
        } else if (reply instanceof PlatformReply.Written written) {
            respond(exchange, 200, new PlatformBodies.WrittenBody(written.version()));
        } else if (reply instanceof PlatformReply.Conflict conflict) {
            respond(
                    exchange,
                    PlatformPaths.STATUS_CONFLICT,
                    new PlatformBodies.ConflictBody(
                            conflict.current().map(PlatformBodies.ObjectBody::of)));
        } else if (reply instanceof PlatformReply.Changed changed) {
            respond(
                    exchange,
                    200,
                    new PlatformBodies.ChangesBody(
                            changed.changes().stream().map(PlatformBodies.ChangeBody::of).toList(),
                            changed.upToVersion()));
        }
    }

    private static void respond(HttpExchange exchange, int status, Object body) {
        exchange.respond(status, Map.of(), Json.encode(body).getBytes(StandardCharsets.UTF_8));
    }
}
