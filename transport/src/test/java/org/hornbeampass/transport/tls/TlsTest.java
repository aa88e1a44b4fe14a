package org.hornbeampass.transport.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpClientSettings;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.HttpServerSettings;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.http.NettyHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Tests HTTP over TLS with certificates from PEM files. */
class TlsTest {
    private static final long WAIT_S = 20;

    private final Clock mClock = Clock.monotonic();
    private HttpServer mServer;

    @AfterEach
    void close() throws Exception {
        if (mServer != null) {
            mServer.close().get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void trustedCertificate_isAccepted() throws Exception {
        serve(TestCertificate.listener());

        assertThat(get("https", HttpClientSettings.STANDARD.withTls(TestCertificate.client())))
                .isEqualTo("hello");
    }

    @Test
    void untrustedCertificate_isRejected_beforeAnythingIsSent() throws Exception {
        serve(TestCertificate.listener());

        assertThat(get("https", HttpClientSettings.STANDARD)).startsWith("sent=false");
    }

    @Test
    void clientWithoutCertificate_isRejected_whereOneIsRequired() throws Exception {
        serve(TestCertificate.mutual());

        assertThat(get("https", HttpClientSettings.STANDARD.withTls(TestCertificate.client())))
                .startsWith("sent=");
        assertThat(get("https", HttpClientSettings.STANDARD.withTls(TestCertificate.mutual())))
                .isEqualTo("hello");
    }

    @Test
    void plainRequest_isNotServed() throws Exception {
        serve(TestCertificate.listener());

        assertThat(get("http", HttpClientSettings.STANDARD)).startsWith("sent=true");
    }

    @Test
    void missingFile_isNamed() {
        TlsFiles files = TlsFiles.listener(Path.of("none.pem"), Path.of("none.pem"));

        assertThatThrownBy(() -> TlsContexts.forListener(files))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("none.pem");
    }

    private void serve(TlsFiles files) {
        byte[] body = "hello".getBytes(StandardCharsets.UTF_8);
        mServer =
                NettyHttpServer.start(
                        HttpServerSettings.loopback().withTls(files),
                        mClock,
                        (now, exchange) -> exchange.respond(200, Map.of(), body));
    }

    private String get(String scheme, HttpClientSettings settings) throws Exception {
        URI uri = URI.create(scheme + "://127.0.0.1:" + mServer.address().getPort() + "/");
        CompletableFuture<String> answer = new CompletableFuture<>();
        try (HttpClient client = NettyHttpClient.create(EventLoops.shared(), settings, mClock)) {
            client.send(
                    new HttpClient.Request("GET", uri, Map.of(), new byte[0], 10_000, 10_000),
                    new FirstChunk(answer));
            return answer.get(WAIT_S, TimeUnit.SECONDS);
        }
    }

    /** Completes the future with the first chunk of a response, or with the failure as text. */
    private record FirstChunk(CompletableFuture<String> answer) implements HttpClient.Listener {
        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onData(byte[] chunk) {
            answer.complete(new String(chunk, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(boolean sent, String reason) {
            answer.complete("sent=" + sent + " " + reason);
        }
    }
}
