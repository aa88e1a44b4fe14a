package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Tests {@link ServerConnection}: bytes and time in, answers and closing out. */
class ServerConnectionTest {
    private static final String GET = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    private static final String POST = "POST /p HTTP/1.1\r\nhost: a\r\n";

    private final ServerStatus mStatus = new ServerStatus();
    private final EmbeddedServer mServer = new EmbeddedServer(mStatus);

    @ParameterizedTest
    @CsvSource({
        "'GARBAGE\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/2.0\r\nhost: a\r\n\r\n', 400, malformed_request",
        "'GET /%zz HTTP/1.1\r\nhost: a\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\nhost: a\r\nexpect: tea\r\n\r\n', 400, malformed_request",
        "'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n', 400, malformed_request",
        "'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n', 413, request_too_large",
        "'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n', 405, method_not_allowed",
        "'GET / HTTP/1.1\r\nhost: a\r\na: 1\r\nb: 1\r\nc: 1\r\nd: 1\r\ne: 1\r\n\r\n', 413,"
                + " request_too_large",
    })
    void badInput_isAnsweredAndEndsTheConnection(String input, int status, String code) {
        mServer.send(input);

        assertThat(mServer.received())
                .startsWith("HTTP/1.1 " + status + " ")
                .contains(
                        "connection: close",
                        "\"code\":\"" + code + "\"",
                        "\"run_state\":\"not_run");
        assertThat(mServer.open()).isFalse();
        assertThat(mServer.arrived()).isEmpty();
        assertThat(mStatus.inFlight()).isZero();
    }

    @Test
    void longHead_isTooLarge() {
        mServer.send("GET / HTTP/1.1\r\nhost: a\r\nx: " + "y".repeat(300) + "\r\n\r\n");

        assertThat(mServer.received()).startsWith("HTTP/1.1 413 ");
    }

    @Test
    void chunkedBodyBeyondItsBound_isTooLarge() {
        mServer.send(POST + "transfer-encoding: chunked\r\n\r\n");
        mServer.send("40\r\n" + "x".repeat(64) + "\r\n");
        mServer.send("40\r\n" + "x".repeat(64) + "\r\n");

        assertThat(mServer.received()).startsWith("HTTP/1.1 413 ");
        assertThat(mStatus.inFlight()).isZero();
    }

    @Test
    void bodyInParts_arrivesWhole() {
        mServer.send(POST + "content-length: 6\r\n\r\nab").send("cd").send("ef");

        assertThat(mServer.arrived()).hasSize(1);
        assertThat(new String(mServer.arrived().get(0).body(), StandardCharsets.UTF_8))
                .isEqualTo("abcdef");
    }

    @Test
    void expectContinue_isToldToGoOn() {
        mServer.send(POST + "content-length: 2\r\nexpect: 100-continue\r\n\r\n");
        assertThat(mServer.received()).startsWith("HTTP/1.1 100 Continue");

        mServer.send("ab");
        mServer.answer(0, "ok");

        assertThat(mServer.received()).startsWith("HTTP/1.1 200 OK").endsWith("ok");
    }

    @Test
    void pipelinedRequests_areHandledOneAfterAnother() {
        mServer.send(GET + GET + GET);

        assertThat(mServer.arrived()).hasSize(1);
        assertThat(mServer.reads()).isFalse();
        mServer.answer(0, "one");
        assertThat(mServer.arrived()).hasSize(2);
        mServer.answer(1, "two");
        mServer.answer(2, "three");
        assertThat(mServer.received()).containsSubsequence("one", "two", "three");
        assertThat(mServer.reads()).isTrue();
        assertThat(mServer.open()).isTrue();
    }

    @Test
    void head_hasALengthAndNoBody() {
        mServer.send("HEAD / HTTP/1.1\r\nhost: a\r\n\r\n");
        mServer.answer(0, "body");

        assertThat(mServer.received()).contains("content-length: 4").endsWith("\r\n\r\n");
    }

    @Test
    void http10_isClosedAfterItsAnswer() {
        mServer.send("GET / HTTP/1.0\r\n\r\n");
        mServer.answer(0, "body");

        assertThat(mServer.received()).contains("connection: close").endsWith("body");
        assertThat(mServer.open()).isFalse();
    }

    @Test
    void http10_streamsWithoutChunks() {
        mServer.send("GET / HTTP/1.0\r\n\r\n");
        stream("ab", "cd").end();

        assertThat(mServer.received()).doesNotContain("chunked").endsWith("abcd");
        assertThat(mServer.open()).isFalse();
    }

    @Test
    void stream_endsWithTheLastChunk_andKeepsTheConnection() {
        mServer.send(GET);
        stream("ab", "cd").end();

        assertThat(mServer.received())
                .contains("transfer-encoding: chunked")
                .endsWith("2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");
        assertThat(mServer.open()).isTrue();
    }

    @Test
    void abort_closesWithoutTheLastChunk() {
        mServer.send(GET);
        stream("ab").abort();

        assertThat(mServer.received()).endsWith("2\r\nab\r\n");
        assertThat(mServer.open()).isFalse();
        assertThat(mStatus.inFlight()).isZero();
    }

    @Test
    void secondAnswer_hasNoEffect() {
        mServer.send(GET);
        mServer.answer(0, "first");
        mServer.answer(0, "second");

        assertThat(mServer.received()).endsWith("first");
    }

    @Test
    void slowHead_isAnsweredAndClosed() {
        mServer.send("GET / HT");
        for (int i = 0; i < 4; i++) {
            mServer.pass(250).send("T");
        }

        assertThat(mServer.received())
                .startsWith("HTTP/1.1 504")
                .contains("did not arrive in time");
        assertThat(mServer.open()).isFalse();
    }

    @Test
    void slowBody_isAnsweredAndClosed() {
        mServer.send(POST + "content-length: 90\r\n\r\n");
        for (int i = 0; i < 8; i++) {
            mServer.send("x").pass(250);
        }

        assertThat(mServer.received()).startsWith("HTTP/1.1 504");
        assertThat(mStatus.inFlight()).isZero();
    }

    @Test
    void idleConnection_isClosedWithoutAWord() {
        mServer.pass(4_999);
        assertThat(mServer.open()).isTrue();

        mServer.pass(250);

        assertThat(mServer.received()).isEmpty();
        assertThat(mServer.open()).isFalse();
    }

    @Test
    void slowHandler_isWaitedFor() {
        mServer.send(GET).pass(60_000);
        mServer.answer(0, "late");

        assertThat(mServer.received()).endsWith("late");
    }

    @Test
    void callerThatGoes_isReportedOnce_andOnlyBeforeTheEnd() {
        List<String> told = new ArrayList<>();
        mServer.send(GET);
        mServer.arrived().get(0).onCallerGone(() -> told.add("open"));
        mServer.hangUp();
        mServer.arrived().get(0).onCallerGone(() -> told.add("late"));

        assertThat(told).containsExactly("open", "late");
        assertThat(mStatus.inFlight()).isZero();

        EmbeddedServer other = new EmbeddedServer();
        other.send(GET);
        other.arrived().get(0).onCallerGone(() -> told.add("ended"));
        other.answer(0, "");
        other.hangUp();
        assertThat(told).hasSize(2);
    }

    @Test
    void draining_closesAfterTheNextAnswer() {
        mServer.send(GET);
        mStatus.startDraining();
        assertThat(mStatus.inFlight()).isEqualTo(1);
        mServer.answer(0, "last");

        assertThat(mServer.received()).contains("connection: close").endsWith("last");
        assertThat(mServer.open()).isFalse();
        assertThat(mStatus.inFlight()).isZero();
    }

    @Test
    void connectionBeyondTheBound_isRefused() {
        EmbeddedServer second = new EmbeddedServer(mStatus);

        assertThat(second.received()).startsWith("HTTP/1.1 503").contains("overloaded");
        assertThat(second.open()).isFalse();
    }

    @Test
    void failingHandler_isAnswered() {
        EmbeddedServer server =
                new EmbeddedServer(
                        new ServerStatus(),
                        (now, exchange) -> {
                            throw new IllegalStateException("on purpose");
                        });
        server.send(GET);

        assertThat(server.received()).startsWith("HTTP/1.1 500").contains("\"code\":\"internal\"");
    }

    @Test
    void headerThatCannotBeSent_closesTheConnection() {
        mServer.send(GET);
        mServer.arrived().get(0).respond(200, Map.of("a", "b\r\nc: d"), new byte[0]);

        assertThat(mServer.received()).isEmpty();
        assertThat(mServer.open()).isFalse();
    }

    private HttpExchange stream(String... chunks) {
        HttpExchange exchange = mServer.arrived().get(0);
        exchange.startStream(200, Map.of());
        for (String chunk : chunks) {
            exchange.write(chunk.getBytes(StandardCharsets.UTF_8));
        }
        return exchange;
    }

    @Test
    void producerAheadOfTheEventLoop_isHeldBack_andToldToGoOn() {
        mServer.send(GET);
        HttpExchange exchange = mServer.arrived().get(0);
        AtomicInteger caughtUp = new AtomicInteger();
        exchange.onWritable(caughtUp::incrementAndGet);
        exchange.startStream(200, Map.of());
        byte[] chunk = new byte[32 << 10];
        List<Boolean> keepsUp = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            keepsUp.add(exchange.write(chunk));
        }

        assertThat(keepsUp).containsExactly(true, true, true, false);
        assertThat(caughtUp).hasValue(0);
        assertThat(mServer.received()).startsWith("HTTP/1.1 200 OK");
        assertThat(caughtUp).hasValue(1);
        assertThat(exchange.write(chunk)).isTrue();
    }
}
