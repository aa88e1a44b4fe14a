package org.hornbeampass.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One caller's connection without sockets and with time that tests set. */
final class EmbeddedServer {
    static final HttpServerSettings SETTINGS =
            HttpServerSettings.loopback()
                    .withLimits(new HttpServerSettings.Limits(200, 5, 100, 1))
                    .withTimeouts(new HttpServerSettings.Timeouts(1_000, 2_000, 5_000, 3_000));

    private final List<HttpExchange> mArrived = new ArrayList<>();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private long mNowMs;

    EmbeddedServer() {
        this(new ServerStatus());
    }

    EmbeddedServer(ServerStatus status) {
        this(status, (now, exchange) -> {});
    }

    EmbeddedServer(ServerStatus status, HttpHandler handler) {
        NettyHttpServer.addHttp(
                mChannel.pipeline(),
                SETTINGS,
                () -> mNowMs,
                (now, exchange) -> {
                    mArrived.add(exchange);
                    handler.handle(now, exchange);
                },
                status);
        mChannel.freezeTime();
        mChannel.pipeline().fireChannelActive();
    }

    /** Sends bytes as one read. */
    EmbeddedServer send(String text) {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    EmbeddedServer send(byte[] bytes) {
        if (mChannel.isOpen()) {
            mChannel.writeInbound(Unpooled.wrappedBuffer(bytes));
        }
        mChannel.runPendingTasks();
        return this;
    }

    /** Lets time pass. */
    EmbeddedServer pass(long ms) {
        mNowMs += ms;
        mChannel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
        return this;
    }

    List<HttpExchange> arrived() {
        return mArrived;
    }

    void answer(int request, String body) {
        mArrived.get(request).respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8));
        mChannel.runPendingTasks();
    }

    /** Returns what the caller has been sent since the last call. */
    String received() {
        mChannel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            text.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return text.toString();
    }

    boolean open() {
        mChannel.runPendingTasks();
        return mChannel.isOpen();
    }

    boolean reads() {
        return mChannel.config().isAutoRead();
    }

    void hangUp() {
        mChannel.finishAndReleaseAll();
        mChannel.runPendingTasks();
    }

    /** Throws what no handler has caught. */
    void checkException() {
        mChannel.checkException();
    }
}
