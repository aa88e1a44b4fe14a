package org.hornbeampass.experiment.path;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.HttpServerSettings;
import org.hornbeampass.transport.http.NettyHttpServer;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An upstream that answers each chat completion at once with the same stream, so that what is
 * measured is the router and the network only.
 *
 * <p>Thread-safe.
 */
final class CannedUpstream implements AutoCloseable {
    private final EventLoops mLoops;
    private final HttpServer mServer;
    private final byte[][] mEvents;

    /**
     * Starts the upstream.
     *
     * @param threads its event loops
     * @param tokens the chunks of each answer
     */
    CannedUpstream(int threads, int tokens) {
        mLoops = EventLoops.create(threads, "canned-upstream");
        mEvents = events(tokens);
        mServer =
                NettyHttpServer.start(
                        mLoops,
                        HttpServerSettings.loopback(),
                        Clock.monotonic(),
                        (nowMs, exchange) -> answer(exchange));
    }

    private static byte[][] events(int tokens) {
        byte[][] events = new byte[tokens + 2][];
        for (int i = 0; i < tokens; i++) {
            events[i] = event("[{\"index\":0,\"delta\":{\"content\":\"token \"}}]", "");
        }
        events[tokens] =
                event(
                        "[]",
                        ",\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":"
                                + tokens
                                + ",\"total_tokens\":"
                                + (tokens + 8)
                                + "}");
        events[tokens + 1] = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
        return events;
    }

    private static byte[] event(String choices, String more) {
        String json =
                "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,"
                        + "\"model\":\"desk\",\"choices\":"
                        + choices
                        + more
                        + "}";
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private void answer(HttpExchange exchange) {
        exchange.startStream(200, Map.of("content-type", "text/event-stream"));
        for (byte[] event : mEvents) {
            exchange.write(event);
        }
        exchange.end();
    }

    String uri() {
        return "http://127.0.0.1:" + mServer.address().getPort();
    }

    @Override
    public void close() {
        mServer.close().join();
        mLoops.close();
    }
}
