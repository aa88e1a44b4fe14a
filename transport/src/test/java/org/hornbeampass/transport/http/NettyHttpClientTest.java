package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Tests {@link NettyHttpClient}: its pool, its failures and what it takes for an answer. */
class NettyHttpClientTest {
    private static final long WAIT_S = 20;
    private static final byte[] EMPTY = new byte[0];

    private final Clock mClock = Clock.monotonic();
    private final BlockingQueue<HttpExchange> mArrived = new LinkedBlockingQueue<>();
    private final HttpServer mServer =
            NettyHttpServer.start(
                    HttpServerSettings.loopback(),
                    mClock,
                    (now, exchange) -> mArrived.add(exchange));
    private final HttpClient mClient =
            NettyHttpClient.create(
                    EventLoops.shared(), HttpClientSettings.STANDARD.withPool(1, 1), mClock);

    @AfterEach
    void close() throws Exception {
        mClient.close();
        mServer.close().get(WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void connection_isUsedAgain() throws Exception {
        CompletableFuture<Answer> first = send("/1");
        String address = answer("one");
        assertThat(body(first)).isEqualTo("one");
        CompletableFuture<Answer> second = send("/2");

        assertThat(answer("two")).isEqualTo(address);
        assertThat(body(second)).isEqualTo("two");
    }

    @Test
    void requestsBeyondTheBound_waitOrAreRefusedUnsent() throws Exception {
        CompletableFuture<Answer> first = send("/1");
        HttpExchange held = next();
        CompletableFuture<Answer> waiting = send("/2");
        CompletableFuture<Answer> refused = send("/3");

        assertThat(failure(refused)).startsWith("sent=false too many requests wait");
        assertThat(mArrived).isEmpty();
        held.respond(200, Map.of(), "one".getBytes(StandardCharsets.UTF_8));
        answer("two");
        assertThat(body(first)).isEqualTo("one");
        assertThat(body(waiting)).isEqualTo("two");
    }

    @Test
    void waitingRequest_expiresUnsent() throws Exception {
        CompletableFuture<Answer> held = send("/1");
        next();
        AnswerCollector collector = new AnswerCollector();
        mClient.send(request(5, 20_000), collector);

        assertThat(failure(collector.answer())).startsWith("sent=false no connection");
        assertThat(held).isNotDone();
    }

    @Test
    void silentServer_failsSent() throws Exception {
        AnswerCollector collector = new AnswerCollector();
        mClient.send(request(5_000, 10), collector);

        assertThat(failure(collector.answer())).startsWith("sent=true the answer paused");
    }

    @Test
    void cancel_closesTheConnection_andTheListenerHearsNothing() throws Exception {
        AnswerCollector collector = new AnswerCollector();
        HttpClient.Call call = mClient.send(request(5_000, 20_000), collector);
        CompletableFuture<Void> gone = new CompletableFuture<>();
        next().onCallerGone(() -> gone.complete(null));

        call.cancel();

        gone.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(collector.answer()).isNotDone();
    }

    @Test
    void pausedCall_holdsTheServerBack_andGoesOnWhole() throws Exception {
        AnswerCollector collector = new AnswerCollector();
        HttpClient.Call call = mClient.send(request(5_000, 20_000), collector);
        call.pause();
        HttpExchange exchange = next();
        exchange.startStream(200, Map.of());
        byte[] chunk = new byte[64 << 10];
        long written = 0;
        CompletableFuture<Void> caughtUp = new CompletableFuture<>();
        exchange.onWritable(() -> caughtUp.complete(null));
        boolean keepsUp = true;
        while (keepsUp) {
            keepsUp = exchange.write(chunk);
            written += chunk.length;
        }

        call.resume();

        caughtUp.get(WAIT_S, TimeUnit.SECONDS);
        exchange.end();
        assertThat(body(collector.answer())).hasSize((int) written);
    }

    @Test
    void headerThatCannotBeSent_failsUnsent() throws Exception {
        HttpClient.Request good = request(5_000, 20_000);
        AnswerCollector collector = new AnswerCollector();
        mClient.send(
                new HttpClient.Request(
                        "GET", good.uri(), Map.of("a", "b\r\nc: d"), EMPTY, 5_000, 20_000),
                collector);

        assertThat(failure(collector.answer())).startsWith("sent=false");
        CompletableFuture<Answer> next = send("/");
        answer("fine");
        assertThat(body(next)).isEqualTo("fine");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\nends by closing",
                "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
                "garbage\r\n\r\n",
                "",
            })
    void answerThatIsNotWhole_failsSent(String answer) throws Exception {
        assertThat(failure(sendToRawServer(List.of(answer)))).startsWith("sent=true");
    }

    @Test
    void interimAnswer_isSkipped() throws Exception {
        String answer =
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

        assertThat(body(sendToRawServer(List.of(answer)))).isEqualTo("ok");
    }

    @Test
    void whatFollowsAnAnswer_isNotGivenToTheNextRequest() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            serveRaw(server, List.of(ok + "1!" + ok + "X!", ok + "2!"));
            AnswerCollector first = new AnswerCollector();
            AnswerCollector second = new AnswerCollector();
            mClient.send(AnswerCollector.request(address, "GET", "/1", ""), first);
            mClient.send(AnswerCollector.request(address, "GET", "/2", ""), second);

            assertThat(body(first.answer())).isEqualTo("1!");
            assertThat(body(second.answer())).isEqualTo("2!");
        }
    }

    @Test
    void partOfAHeadAfterAnAnswer_doesNotReplaceTheStatusOfTheNext() throws Exception {
        String first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n1!HTTP/1.1 200 OK\r\nserver: ";
        String second = "HTTP/1.1 500 Failed\r\ncontent-length: 2\r\n\r\n2!";
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            serveKept(server, new ArrayDeque<>(List.of(first, second)));
            AnswerCollector one = new AnswerCollector();
            mClient.send(AnswerCollector.request(address, "GET", "/1", ""), one);
            assertThat(body(one.answer())).isEqualTo("1!");
            AnswerCollector two = new AnswerCollector();
            mClient.send(AnswerCollector.request(address, "GET", "/2", ""), two);
            assertThat(two.answer().get(WAIT_S, TimeUnit.SECONDS).status()).isEqualTo(500);
        }
    }

    /** Gives each request one of the answers, on connections that stay open. */
    private static void serveKept(ServerSocket server, Queue<String> answers) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!answers.isEmpty()) {
                                answerWhileOpen(server, answers);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void answerWhileOpen(ServerSocket server, Queue<String> answers) {
        try (Socket socket = server.accept()) {
            while (socket.getInputStream().read(new byte[4096]) > 0) {
                socket.getOutputStream()
                        .write(answers.remove().getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void refusedCaller_readsItsAnswer_thoughItsBodyIsUnread() throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), mServer.address().getPort())) {
            String head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[1 << 20]);

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .startsWith("HTTP/1.1 413 ")
                    .endsWith("}}");
        }
    }

    private CompletableFuture<Answer> sendToRawServer(List<String> answers) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            AnswerCollector collector = new AnswerCollector();
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            Thread thread = serveRaw(server, answers);
            mClient.send(AnswerCollector.request(address, "GET", "/", ""), collector);
            thread.join(TimeUnit.SECONDS.toMillis(WAIT_S));
            return collector.answer();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Gives each connection one of the answers, and closes it. */
    private static Thread serveRaw(ServerSocket server, List<String> answers) {
        Thread thread =
                new Thread(
                        () -> {
                            for (String answer : answers) {
                                answerOnce(server, answer);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void answerOnce(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            byte[] request = new byte[4096];
            int read = socket.getInputStream().read(request);
            assertThat(read).isPositive();
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpClient.Request request(long connectTimeoutMs, long idleTimeoutMs) {
        URI uri = URI.create("http://127.0.0.1:" + mServer.address().getPort() + "/");
        return new HttpClient.Request("GET", uri, Map.of(), EMPTY, connectTimeoutMs, idleTimeoutMs);
    }

    private CompletableFuture<Answer> send(String path) {
        AnswerCollector collector = new AnswerCollector();
        mClient.send(AnswerCollector.request(mServer.address(), "GET", path, ""), collector);
        return collector.answer();
    }

    private HttpExchange next() throws InterruptedException {
        HttpExchange exchange = mArrived.poll(WAIT_S, TimeUnit.SECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    /** Answers the next request and returns the address that it came from. */
    private String answer(String body) throws InterruptedException {
        HttpExchange exchange = next();
        exchange.respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8));
        return exchange.remoteAddress();
    }

    private static String body(CompletableFuture<Answer> answer) throws Exception {
        Answer got = answer.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(got.failure()).isEmpty();
        return got.body();
    }

    private static String failure(CompletableFuture<Answer> answer) throws Exception {
        return answer.get(WAIT_S, TimeUnit.SECONDS).failure();
    }
}
