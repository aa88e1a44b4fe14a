package org.hornbeampass.transport.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Listens for callers and hands their requests to a handler, head first.
 *
 * <p>Confined to one event loop, on which it must be started, ticked and stopped.
 */
public final class CallerServer {
    private static final Logger LOG = LogManager.getLogger(CallerServer.class);
    private static final int BACKLOG = 1024;

    /** The largest head that is decoded at all; the configured limit is at most this. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final int LOW_WATER_BYTES = 16 << 10;
    private static final int HIGH_WATER_BYTES = 64 << 10;

    /** How often one connection is read before the others have their turn; Netty's usual bound. */
    private static final int MAX_READS = 16;

    private final Clock mClock;
    private final CallerHandler mHandler;
    private final Supplier<CallerLimits> mLimits;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private Channel mListener;
    private boolean mDraining;

    private CallerServer(Clock clock, CallerHandler handler, Supplier<CallerLimits> limits) {
        mClock = clock;
        mHandler = handler;
        mLimits = limits;
    }

    /**
     * Starts listening.
     *
     * @param loops the event loops, of which there must be one thread
     * @param address where to listen
     * @param clock the present time
     * @param handler takes the requests
     * @param limits gives what callers may send now
     * @throws IllegalStateException if the address can't be listened on
     */
    public static CallerServer start(
            EventLoops loops,
            InetSocketAddress address,
            Clock clock,
            CallerHandler handler,
            Supplier<CallerLimits> limits) {
        CallerServer server = new CallerServer(clock, handler, limits);
        server.bind(loops, address);
        return server;
    }

    private void bind(EventLoops loops, InetSocketAddress address) {
        var bound =
                new ServerBootstrap()
                        .group(loops.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                        .childHandler(new Initializer())
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "can't listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        mListener = bound.channel();
    }

    /** Returns the address that is listened on, with the real port where 0 was asked for. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Closes connections that have been idle, or slow with a head, for too long. */
    public void tick(long nowMs) {
        List.copyOf(mConnections).forEach(c -> c.closeIfSlow(nowMs));
    }

    /** Closes each connection after its next answer from now on. */
    public void drain() {
        mDraining = true;
    }

    /** Takes no new connections from now on. */
    public void stopAccepting() {
        Channels.close(mListener);
    }

    /** Closes the connections on which nothing is in progress. */
    public void closeIdle() {
        List.copyOf(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns on how many connections a request is in progress. */
    public int busyConnections() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Returns how many connections are open. */
    public int connections() {
        return mConnections.size();
    }

    boolean isDraining() {
        return mDraining;
    }

    CallerLimits limits() {
        return mLimits.get();
    }

    CallerHandler handler() {
        return mHandler;
    }

    void onClosed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    void onFault(Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("a caller's connection broke: {}", cause.getMessage());
        } else {
            LOG.error("a caller's connection met an internal fault", cause);
        }
    }

    /** Lays out the pipeline of each accepted connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            CallerConnection connection = new CallerConnection(CallerServer.this, mClock);
            mConnections.add(connection);
            // Reads on until nothing is left, so that a caller's end is seen with its last request.
            channel.config()
                    .setRecvByteBufAllocator(
                            new AdaptiveRecvByteBufAllocator()
                                    .respectMaybeMoreData(false)
                                    .maxMessagesPerRead(MAX_READS));
            int maxHead = Math.min(MAX_HEAD_BYTES, limits().maxHeadBytes());
            channel.pipeline()
                    .addLast(new ByteListener(connection))
                    .addLast(
                            new HttpServerCodec(
                                    new HttpDecoderConfig()
                                            .setMaxInitialLineLength(maxHead)
                                            .setMaxHeaderSize(maxHead)))
                    .addLast(connection);
        }
    }

    /** Tells a connection of bytes before they are decoded, so that a slow head is noticed. */
    private static final class ByteListener extends ChannelInboundHandlerAdapter {
        private final CallerConnection mConnection;

        ByteListener(CallerConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.onBytes();
            context.fireChannelRead(message);
        }
    }
}
