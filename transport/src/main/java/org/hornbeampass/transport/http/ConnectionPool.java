package org.hornbeampass.transport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;

import org.hornbeampass.transport.AnswerDecoder;
import org.hornbeampass.transport.BoundedInput;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections to one target, and the calls that wait for one.
 *
 * <p>Invariants: connections, with those that are being made, and waiting calls stay within their
 * bounds; a call waits only while no connection is idle; a call leaves the pool with a connection
 * or with a failure that says that nothing was sent. Thread-safe: one lock guards the state; calls
 * and channels are only used after it is released.
 */
final class ConnectionPool {
    private static final ChannelOption<Integer> KEEP_IDLE =
            NioChannelOption.of(jdk.net.ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> KEEP_INTERVAL =
            NioChannelOption.of(jdk.net.ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_COUNT =
            NioChannelOption.of(jdk.net.ExtendedSocketOptions.TCP_KEEPCOUNT);

    /**
     * After how many silent seconds a connection is probed. A call may wait for its answer for half
     * a minute on a connection that has gone silent; what a configuration takes back must be out of
     * use within a few seconds, and probes are no calls that the platform charges for.
     */
    private static final int KEEP_IDLE_S = 1;

    /** How many seconds pass between probes. */
    private static final int KEEP_INTERVAL_S = 1;

    /** After how many unanswered probes a connection is given up: three seconds of silence. */
    private static final int KEEP_COUNT_PROBES = 2;

    private final Object mLock = new Object();
    private final EventLoops mLoops;
    private final Target mTarget;
    private final HttpClientSettings mSettings;
    private final Optional<SslContext> mTls;
    private final Clock mClock;
    private final ArrayDeque<ClientConnection> mIdle = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> mWaiting = new ArrayDeque<>();
    private final Set<Channel> mChannels = new HashSet<>();
    private int mOpen;
    private boolean mClosed;

    /** What a call gets when it asks for a connection. */
    private enum Grant {
        CONNECT,
        WAIT,
        REFUSED,
        CLOSED
    }

    ConnectionPool(
            EventLoops loops,
            Target target,
            HttpClientSettings settings,
            Optional<SslContext> tls,
            Clock clock) {
        mLoops = loops;
        mTarget = target;
        mSettings = settings;
        mTls = tls;
        mClock = clock;
    }

    /** Starts a call on an idle or new connection, or lets it wait for one. */
    void acquire(ClientCall call) {
        Optional<ClientConnection> idle;
        Grant grant = Grant.CLOSED;
        synchronized (mLock) {
            idle = mClosed ? Optional.empty() : pollIdle();
            if (idle.isEmpty() && !mClosed) {
                grant = grant(call);
            }
        }
        if (idle.isPresent()) {
            idle.get().start(call);
            return;
        }
        switch (grant) {
            case CONNECT -> connect(call);
            case WAIT -> expireLater(call);
            case REFUSED -> call.fail(false, "too many requests wait for " + mTarget);
            case CLOSED -> call.fail(false, "the client is closed");
            default -> throw new IllegalStateException("no such grant: " + grant);
        }
    }

    /** Takes a connection back, and hands it to the call that has waited longest. */
    void release(ClientConnection connection) {
        Optional<ClientCall> next;
        synchronized (mLock) {
            next = pollWaiting();
            if (next.isEmpty() && !mClosed && connection.open()) {
                mIdle.addLast(connection);
            }
        }
        next.ifPresent(connection::start);
    }

    /** Closes all connections; calls under way fail. */
    void close() {
        List<Channel> channels;
        List<ClientCall> waiting;
        synchronized (mLock) {
            mClosed = true;
            channels = List.copyOf(mChannels);
            waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            mIdle.clear();
        }
        waiting.forEach(c -> c.fail(false, "the client is closed"));
        channels.forEach(Channels::close);
    }

    private Optional<ClientConnection> pollIdle() {
        while (!mIdle.isEmpty()) {
            ClientConnection connection = mIdle.pollLast();
            if (connection.open()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private Optional<ClientCall> pollWaiting() {
        while (!mWaiting.isEmpty()) {
            ClientCall call = mWaiting.poll();
            if (!call.done()) {
                return Optional.of(call);
            }
        }
        return Optional.empty();
    }

    private Grant grant(ClientCall call) {
        if (mOpen < mSettings.maxConnections()) {
            mOpen++;
            return Grant.CONNECT;
        }
        mWaiting.removeIf(ClientCall::done);
        if (mWaiting.size() >= mSettings.maxWaiting()) {
            return Grant.REFUSED;
        }
        mWaiting.add(call);
        return Grant.WAIT;
    }

    private void expireLater(ClientCall call) {
        long waitMs = call.request().connectTimeoutMs();
        Future<?> unused =
                mLoops.group()
                        .next()
                        .schedule(() -> expire(call, waitMs), waitMs, TimeUnit.MILLISECONDS);
    }

    private void expire(ClientCall call, long waitMs) {
        boolean waited;
        synchronized (mLock) {
            waited = mWaiting.remove(call);
        }
        if (waited) {
            call.fail(false, "no connection to " + mTarget + " was free within " + waitMs + " ms");
        }
    }

    private void connect(ClientCall call) {
        int timeoutMs = (int) Math.min(Integer.MAX_VALUE, call.request().connectTimeoutMs());
        ChannelFuture connected =
                new Bootstrap()
                        .group(mLoops.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(KEEP_IDLE, KEEP_IDLE_S)
                        .option(KEEP_INTERVAL, KEEP_INTERVAL_S)
                        .option(KEEP_COUNT, KEEP_COUNT_PROBES)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, timeoutMs))
                        .handler(new Initializer(timeoutMs))
                        .connect(
                                InetSocketAddress.createUnresolved(
                                        mTarget.address(), mTarget.port()));
        connected.channel().closeFuture().addListener(closed -> channelClosed(connected.channel()));
        connected.addListener(done -> connected(connected, call));
    }

    private void connected(ChannelFuture connected, ClientCall call) {
        if (!connected.isSuccess()) {
            Channels.close(connected.channel());
            call.fail(false, "no connection to " + mTarget + ": " + connected.cause().getMessage());
            return;
        }
        SslHandler tls = connected.channel().pipeline().get(SslHandler.class);
        if (tls == null) {
            ready(connected.channel(), call);
            return;
        }
        tls.handshakeFuture()
                .addListener(
                        shaken -> {
                            if (shaken.isSuccess()) {
                                ready(connected.channel(), call);
                            } else {
                                Channels.close(connected.channel());
                                call.fail(false, "no TLS with " + mTarget + ": " + shaken.cause());
                            }
                        });
    }

    private void ready(Channel channel, ClientCall call) {
        boolean closed;
        synchronized (mLock) {
            closed = mClosed;
            mChannels.add(channel);
        }
        if (closed) {
            Channels.close(channel);
            call.fail(false, "the client is closed");
            return;
        }
        channel.pipeline().get(ClientConnection.class).start(call);
    }

    private void channelClosed(Channel channel) {
        Optional<ClientCall> next;
        synchronized (mLock) {
            mOpen--;
            mChannels.remove(channel);
            mIdle.removeIf(c -> !c.open());
            next = mClosed ? Optional.empty() : pollWaiting();
        }
        next.ifPresent(this::acquire);
    }

    /** Lays out the pipeline of each connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final int mTimeoutMs;

        Initializer(int timeoutMs) {
            mTimeoutMs = timeoutMs;
        }

        @Override
        protected void initChannel(Channel channel) {
            ChannelPipeline pipeline = channel.pipeline();
            mTls.ifPresent(
                    tls -> {
                        SslHandler handler =
                                tls.newHandler(channel.alloc(), mTarget.address(), mTarget.port());
                        handler.setHandshakeTimeoutMillis(mTimeoutMs);
                        pipeline.addLast(handler);
                    });
            HttpDecoderConfig config =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(mSettings.maxHeadBytes())
                            .setMaxHeaderSize(mSettings.maxHeadBytes());
            ClientConnection connection =
                    new ClientConnection(
                            ConnectionPool.this, channel, mClock, mSettings.maxIdleMs());
            pipeline.addLast(new BoundedInput(connection.bound(), connection));
            pipeline.addLast(new AnswerDecoder(config, head -> connection.method()));
            pipeline.addLast(new HttpRequestEncoder());
            pipeline.addLast(connection);
        }
    }
}
