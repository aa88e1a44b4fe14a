package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.transport.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests {@link NettyHttpServer} and {@link NettyHttpClient} against each other over sockets. */
class HttpLoopTest {
    private static final long WAIT_S = 20;

    private final Clock mClock = Clock.monotonic();
    private final HttpClient mClient = NettyHttpClient.create(mClock);
    private HttpServer mServer;

    @AfterEach
    void close() throws Exception {
        mClient.close();
        if (mServer != null) {
            mServer.close().get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void respond_echoesBodyAndHeaders() throws Exception {
        serve(
                (now, exchange) ->
                        exchange.respond(201, Map.of("x-path", exchange.path()), exchange.body()));

        Answer answer = send("POST", "/a%20b?c=d", "hello").get(WAIT_S, TimeUnit.SECONDS);

        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.headers()).containsEntry("x-path", "/a b");
        assertThat(answer.body()).isEqualTo("hello");
    }

    @Test
    void stream_arrivesInOrderAndEndsProperly() throws Exception {
        serve(
                (now, exchange) -> {
                    exchange.startStream(200, Map.of("content-type", "text/event-stream"));
                    for (int i = 0; i < 1000; i++) {
                        exchange.write((i + ",").getBytes(StandardCharsets.UTF_8));
                    }
                    exchange.end();
                });

        Answer answer = send("GET", "/", "").get(WAIT_S, TimeUnit.SECONDS);

        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            expected.append(i).append(',');
        }
        assertThat(answer.body()).isEqualTo(expected.toString());
        assertThat(answer.failure()).isEmpty();
    }

    @Test
    void abort_isToldFromAProperEnd() throws Exception {
        serve(
                (now, exchange) -> {
                    exchange.startStream(200, Map.of());
                    exchange.write("part".getBytes(StandardCharsets.UTF_8));
                    exchange.abort();
                });

        Answer answer = send("GET", "/", "").get(WAIT_S, TimeUnit.SECONDS);

        assertThat(answer.failure()).startsWith("sent=true");
    }

    @Test
    void send_toClosedPort_failsUnsent() throws Exception {
        // A bound socket that does not listen keeps the port from being used by others.
        try (Socket closed = new Socket()) {
            closed.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress address = (InetSocketAddress) closed.getLocalSocketAddress();

            Answer answer = send(address, "GET", "/", "").get(WAIT_S, TimeUnit.SECONDS);

            assertThat(answer.failure()).startsWith("sent=false");
        }
    }

    private void serve(HttpHandler handler) {
        mServer = NettyHttpServer.start(HttpServerSettings.loopback(), mClock, handler);
    }

    private CompletableFuture<Answer> send(String method, String target, String body) {
        return send(mServer.address(), method, target, body);
    }

    private CompletableFuture<Answer> send(
            InetSocketAddress address, String method, String target, String body) {
        AnswerCollector collector = new AnswerCollector();
        mClient.send(AnswerCollector.request(address, method, target, body), collector);
        return collector.answer();
    }
}
