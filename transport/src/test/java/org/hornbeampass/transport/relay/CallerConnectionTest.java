package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Guards against buffers that leak, connections that are closed with a request pending, and parts
 * of answers that are lost, before a request is handed over or when the connection is aborted.
 */
class CallerConnectionTest {
    private final EventLoops mLoops = EventLoops.create(1, "test");
    private final CallerServer mServer =
            CallerServer.start(
                    mLoops,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Clock.monotonic(),
                    (nowMs, caller, head) -> CallerListener.IGNORING,
                    () -> CallerLimits.DEFAULT);

    @AfterEach
    void close() {
        mLoops.close();
    }

    private static HttpContent part() {
        return new DefaultLastHttpContent(Unpooled.copiedBuffer("body", StandardCharsets.US_ASCII));
    }

    @Test
    void partBeforeAnyRequest_isReleased() {
        CallerConnection caller = new CallerConnection(mServer, Clock.monotonic());
        EmbeddedChannel channel = new EmbeddedChannel(caller);
        HttpContent part = part();
        channel.writeInbound(part);
        assertThat(part.refCnt()).isZero();
    }

    @Test
    void requestThatWasReadButNotHandedOver_keepsTheConnectionBusy() {
        CallerConnection caller = new CallerConnection(mServer, Clock.monotonic());
        EmbeddedChannel channel = new EmbeddedChannel(caller);
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        head.headers().set(HttpHeaderNames.HOST, "h");
        caller.channelRead(channel.pipeline().lastContext(), head);
        assertThat(caller.isBusy()).isTrue();
        caller.closeIfIdle();
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void partsBeforeAnAbort_areSent() {
        CallerConnection caller = new CallerConnection(mServer, Clock.monotonic());
        EmbeddedChannel channel = new EmbeddedChannel(caller);
        HttpContent part = part();
        caller.sendPart(part);
        caller.abort();
        assertThat(channel.<HttpContent>readOutbound()).isSameAs(part);
    }

    @Test
    void partAfterTheConnectionWasAborted_isReleased() {
        CallerConnection caller = new CallerConnection(mServer, Clock.monotonic());
        EmbeddedChannel channel = new EmbeddedChannel(caller);
        HttpContent part = part();
        caller.abort();
        caller.channelRead(channel.pipeline().lastContext(), part);
        assertThat(part.refCnt()).isZero();
    }
}
