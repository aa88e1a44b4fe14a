package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Checks over real sockets that an answer which ends early does not look complete to its caller.
 */
@Timeout(60)
class AbortedAnswerTest {
    /** Far more than an answer takes; bounds the test in case of a fault. */
    private static final int READ_MS = 20_000;

    private final EventLoops mLoops = EventLoops.create(1, "test");
    private volatile Consumer<CallerConnection> mEnd = CallerConnection::sendEnd;
    private final CallerServer mServer =
            CallerServer.start(
                    mLoops,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Clock.monotonic(),
                    (nowMs, caller, head) -> answer(caller),
                    () -> CallerLimits.DEFAULT);

    private CallerListener answer(CallerConnection caller) {
        caller.sendHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        caller.sendPart(
                new DefaultHttpContent(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII)));
        caller.flush();
        mEnd.accept(caller);
        return CallerListener.IGNORING;
    }

    @AfterEach
    void close() {
        mLoops.close();
    }

    private String receive(String version) throws IOException {
        try (Socket socket =
                new Socket(mServer.address().getAddress(), mServer.address().getPort())) {
            socket.setSoTimeout(READ_MS);
            String request = "GET / " + version + "\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void http10Caller_receivesACompleteAnswerUntilTheClose() throws IOException {
        assertThat(receive("HTTP/1.0")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\npart");
    }

    @Test
    void http10Caller_seesAResetWhereTheAnswerIsAborted() {
        mEnd = CallerConnection::abort;
        assertThatThrownBy(() -> receive("HTTP/1.0")).isInstanceOf(SocketException.class);
    }

    @Test
    void http10Caller_seesAResetWhereTheEventLoopIsClosed() {
        mEnd = caller -> new Thread(mLoops::close).start();
        assertThatThrownBy(() -> receive("HTTP/1.0")).isInstanceOf(SocketException.class);
    }

    @Test
    void http10Caller_seesAResetWhereAHandlerClosesItsEventLoop() {
        mEnd = caller -> mLoops.close();
        assertThatThrownBy(() -> receive("HTTP/1.0")).isInstanceOf(SocketException.class);
    }

    @Test
    void http11Caller_receivesNoLastChunkWhereTheAnswerIsAborted() throws IOException {
        mEnd = CallerConnection::abort;
        assertThat(receive("HTTP/1.1")).contains("part").doesNotContain("0\r\n\r\n");
    }
}
