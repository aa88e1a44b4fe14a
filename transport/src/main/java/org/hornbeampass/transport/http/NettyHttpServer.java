package org.hornbeampass.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.tls.TlsContexts;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * An {@link HttpServer} on Netty's codec.
 *
 * <p>Invariant: each connection has at most one request in the handler's hands. Thread-safe; its
 * state is Netty's own groups and the counters in {@link ServerStatus}.
 */
public final class NettyHttpServer implements HttpServer {
    private static final int BACKLOG = 1024;
    private static final int LOW_WATER_BYTES = 32 << 10;
    private static final int HIGH_WATER_BYTES = 128 << 10;

    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ServerStatus mStatus = new ServerStatus();
    private final HttpServerSettings mSettings;
    private final Clock mClock;
    private final HttpHandler mHandler;
    private final Optional<SslContext> mTls;
    private final Channel mListener;

    private NettyHttpServer(
            EventLoops loops, HttpServerSettings settings, Clock clock, HttpHandler handler) {
        mSettings = settings;
        mClock = clock;
        mHandler = handler;
        mTls = settings.tls().map(TlsContexts::forListener);
        mListener = bind(loops);
    }

    /**
     * Starts a server on the process-wide event loops.
     *
     * @throws IllegalStateException if the address can't be listened on
     */
    public static HttpServer start(HttpServerSettings settings, Clock clock, HttpHandler handler) {
        return start(EventLoops.shared(), settings, clock, handler);
    }

    /**
     * Starts a server on given event loops.
     *
     * @throws IllegalStateException if the address can't be listened on
     */
    public static HttpServer start(
            EventLoops loops, HttpServerSettings settings, Clock clock, HttpHandler handler) {
        return new NettyHttpServer(loops, settings, clock, handler);
    }

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    @Override
    public int inFlight() {
        return mStatus.inFlight();
    }

    @Override
    public void stopAccepting() {
        mStatus.startDraining();
        Channels.close(mListener);
    }

    @Override
    public CompletableFuture<Void> close() {
        mStatus.startDraining();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        var unused =
                Channels.closeListener(mListener)
                        .thenRun(
                                () ->
                                        mConnections
                                                .close()
                                                .addListener(done -> closed.complete(null)));
        return closed;
    }

    private Channel bind(EventLoops loops) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                        .childHandler(new Initializer());
        var bound = bootstrap.bind(mSettings.address()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "can't listen on " + mSettings.address() + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /** Lays out the pipeline of each accepted connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            mConnections.add(channel);
            mTls.ifPresent(tls -> channel.pipeline().addLast(tls.newHandler(channel.alloc())));
            addHttp(channel.pipeline(), mSettings, mClock, mHandler, mStatus);
        }
    }

    /** Adds the codec and the connection's own handlers; also for tests without sockets. */
    static void addHttp(
            ChannelPipeline pipeline,
            HttpServerSettings settings,
            Clock clock,
            HttpHandler handler,
            ServerStatus status) {
        int maxHeadBytes = settings.limits().maxHeadBytes();
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes);
        ServerConnection connection = new ServerConnection(settings, clock, handler, status);
        pipeline.addLast(connection.byteListener());
        pipeline.addLast(new HttpServerCodec(config));
        pipeline.addLast(connection);
    }
}
