package org.hornbeampass.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpHandler;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.HttpServerSettings;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.http.NettyHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Tests {@link HttpPlatform} against an HTTP server that implements the object API. */
class HttpPlatformTest {
    private static final long WAIT_S = 20;

    private final Clock mClock = Clock.monotonic();
    private final HttpClient mClient = NettyHttpClient.create(mClock);
    private final List<HttpServer> mServers = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        mClient.close();
        for (HttpServer server : mServers) {
            server.close().get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void calls_returnTheRepliesOfTheServedPlatform() throws Exception {
        HttpPlatform platform = platform(serve(new PlatformEndpoint()));
        String key = "budgets/a b%/ü?x=1&y+z#";

        assertThat(submit(platform, new PlatformCall.Get(key)))
                .isEqualTo(new PlatformReply.Missing());
        assertThat(submit(platform, new PlatformCall.Create(key, "{\"a\":\"\\u00e9\"}")))
                .isEqualTo(new PlatformReply.Written(1));
        StoredObject first = new StoredObject(key, "{\"a\":\"\\u00e9\"}", 1);
        assertThat(submit(platform, new PlatformCall.Create(key, "2")))
                .isEqualTo(new PlatformReply.Conflict(Optional.of(first)));
        assertThat(submit(platform, new PlatformCall.Update(key, "3", 1)))
                .isEqualTo(new PlatformReply.Written(2));
        assertThat(submit(platform, new PlatformCall.Get(key)))
                .isEqualTo(new PlatformReply.Found(new StoredObject(key, "3", 2)));
        assertThat(submit(platform, new PlatformCall.ListObjects("budgets/", "", 10)))
                .isEqualTo(
                        new PlatformReply.Listed(List.of(new StoredObject(key, "3", 2)), false, 2));
        assertThat(submit(platform, new PlatformCall.Delete(key, 2)))
                .isEqualTo(new PlatformReply.Written(3));
        assertThat(submit(platform, new PlatformCall.Delete(key, 2)))
                .isEqualTo(new PlatformReply.Conflict(Optional.empty()));
        assertThat(submit(platform, new PlatformCall.Watch("b", 2, Duration.ofMillis(1))))
                .isEqualTo(
                        new PlatformReply.Changed(
                                List.of(new PlatformReply.Change(key, Optional.empty(), 3)), 3));
    }

    /** Guards against a caller that waits for the answer to a call that was not made. */
    @Test
    void callWithANameThatCantBeEncoded_isUnavailable() throws Exception {
        HttpPlatform platform = platform(serve(new PlatformEndpoint()));
        assertThat(submit(platform, new PlatformCall.Get("vms/a\ud800")))
                .isInstanceOf(PlatformReply.Unavailable.class);
    }

    @Test
    void status429_isThrottled() throws Exception {
        assertThat(replyToStatus(429, "")).isEqualTo(new PlatformReply.Throttled());
    }

    @Test
    void status500_isUnavailable() throws Exception {
        assertThat(replyToStatus(500, "")).isInstanceOf(PlatformReply.Unavailable.class);
    }

    @Test
    void unexpectedBody_isUnavailable() throws Exception {
        assertThat(replyToStatus(200, "[]")).isInstanceOf(PlatformReply.Unavailable.class);
        assertThat(replyToStatus(200, "null")).isInstanceOf(PlatformReply.Unavailable.class);
    }

    @Test
    void closedAddress_isSkippedSinceNothingWasSent() throws Exception {
        HttpServer dead = serve(new PlatformEndpoint());
        HttpServer live = serve(new PlatformEndpoint());
        dead.close().get(WAIT_S, TimeUnit.SECONDS);

        assertThat(submit(platform(dead, live), new PlatformCall.Create("k", "1")))
                .isEqualTo(new PlatformReply.Written(1));
    }

    @Test
    void abortedAnswer_isUnavailableAndNotRetried() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        HttpHandler losing =
                (now, exchange) -> {
                    arrived.incrementAndGet();
                    exchange.startStream(200, Map.of());
                    exchange.abort();
                };

        PlatformReply reply =
                submit(platform(serve(losing), serve(losing)), new PlatformCall.Create("k", "1"));

        assertThat(reply).isInstanceOf(PlatformReply.Unavailable.class);
        assertThat(arrived).hasValue(1);
    }

    @Test
    void key_isSentAsBearerToken() throws Exception {
        CompletableFuture<String> seen = new CompletableFuture<>();
        HttpHandler handler =
                (now, exchange) -> {
                    seen.complete(exchange.header("authorization").orElse(""));
                    exchange.respond(404, Map.of(), new byte[0]);
                };

        submit(platform(serve(handler)), new PlatformCall.Get("k"));

        assertThat(seen).isCompletedWithValue("Bearer k3y");
    }

    private PlatformReply replyToStatus(int status, String body) throws Exception {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpServer server = serve((now, exchange) -> exchange.respond(status, Map.of(), bytes));
        return submit(platform(server), new PlatformCall.Get("k"));
    }

    private HttpServer serve(HttpHandler handler) {
        HttpServer server = NettyHttpServer.start(HttpServerSettings.loopback(), mClock, handler);
        mServers.add(server);
        return server;
    }

    private HttpPlatform platform(HttpServer... servers) {
        List<URI> addresses = new ArrayList<>();
        for (HttpServer server : servers) {
            addresses.add(URI.create("http://127.0.0.1:" + server.address().getPort()));
        }
        return new HttpPlatform(
                mClient, new PlatformSettings(addresses, Secret.of("k3y"), 5_000, 20_000), mClock);
    }

    private PlatformReply submit(HttpPlatform platform, PlatformCall call) throws Exception {
        CompletableFuture<PlatformReply> reply = new CompletableFuture<>();
        platform.submit(mClock.nowMs(), call, (atMs, r) -> reply.complete(r));
        return reply.get(WAIT_S, TimeUnit.SECONDS);
    }
}
