package org.hornbeampass.transport.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Accepts connections of callers and hands each request to a handler as soon as its head has
 * arrived.
 *
 * <p>Confined to one event loop, on which it must be started, ticked and stopped.
 */
public final class CallerServer {
    private static final Logger LOG = LogManager.getLogger(CallerServer.class);
    private static final int BACKLOG = 1024;

    /** The largest head that is decoded; a higher configured limit has no effect. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final int LOW_WATER_BYTES = 16 << 10;
    private static final int HIGH_WATER_BYTES = 64 << 10;

    /** The interval at which listening is retried after a pause, in milliseconds. */
    private static final long LISTEN_RETRY_MS = 100;

    /** How often one connection is read before the next one is served; Netty's default. */
    private static final int MAX_READS = 16;

    private final Clock mClock;
    private final CallerHandler mHandler;
    private final Supplier<CallerLimits> mLimits;
    private final IntakeListener mIntake;
    private final Optional<HandoverQueue> mHandovers;
    private final Optional<LinkBytes> mLinkBytes;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private int mWaitingRequests;
    private ServerBootstrap mBootstrap;
    private Channel mListener;
    private InetSocketAddress mAddress;
    private boolean mDraining;
    private boolean mPaused;
    private boolean mStopped;

    private CallerServer(
            Clock clock,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            IntakeListener intake,
            Optional<HandoverQueue> handovers,
            Optional<LinkBytes> linkBytes) {
        mClock = clock;
        mHandler = handler;
        mLimits = limits;
        mIntake = intake;
        mHandovers = handovers;
        mLinkBytes = linkBytes;
    }

    /**
     * Starts listening.
     *
     * @param loops the event loops, which must have exactly one thread
     * @param address the address to listen on; port 0 picks a free port
     * @param clock the source of the present time
     * @param handler receives the requests
     * @param limits supplies the limits for callers that apply at present
     * @throws IllegalStateException if the address can't be listened on
     */
    public static CallerServer start(
            EventLoops loops,
            InetSocketAddress address,
            Clock clock,
            CallerHandler handler,
            Supplier<CallerLimits> limits) {
        return start(
                loops,
                address,
                clock,
                handler,
                limits,
                IntakeListener.NONE,
                false,
                Optional.empty());
    }

    /**
     * Starts listening, with a listener of the intake.
     *
     * @param loops the event loops, which must have exactly one thread
     * @param address the address to listen on; port 0 picks a free port
     * @param clock the source of the present time
     * @param handler receives the requests
     * @param limits supplies the limits for callers that apply at present
     * @param intake observes how requests come in
     * @param answersFirst whether new requests are handed over for a bounded time in each iteration
     *     of the event loop, so that answers that are ready are written before further requests
     * @param linkBytes counts the bytes that are read and written, if present
     * @throws IllegalStateException if the address can't be listened on
     */
    public static CallerServer start(
            EventLoops loops,
            InetSocketAddress address,
            Clock clock,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            IntakeListener intake,
            boolean answersFirst,
            Optional<LinkBytes> linkBytes) {
        Optional<HandoverQueue> handovers =
                answersFirst ? Optional.of(new HandoverQueue(clock)) : Optional.empty();
        CallerServer server =
                new CallerServer(clock, handler, limits, intake, handovers, linkBytes);
        server.bind(loops, address);
        return server;
    }

    private void bind(EventLoops loops, InetSocketAddress address) {
        mBootstrap =
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
        var bound = mBootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "can't listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        mListener = bound.channel();
        mAddress = (InetSocketAddress) mListener.localAddress();
    }

    /** Returns the address that the server listens on, with the real port if 0 was given. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Closes connections that were idle, or whose head was incomplete, for too long. */
    public void tick(long nowMs) {
        List.copyOf(mConnections).forEach(c -> c.closeIfSlow(nowMs));
    }

    /** From now on, closes each connection after its next answer. */
    public void drain() {
        mDraining = true;
    }

    /** Stops accepting new connections; those that are open stay open. */
    public void stopAccepting() {
        mStopped = true;
        Channels.close(mListener);
    }

    /** Refuses new connections until {@link #resume}, and closes each open one after its answer. */
    public void pause() {
        if (mPaused) {
            return;
        }
        mPaused = true;
        Channels.close(mListener);
    }

    /** Accepts new connections again after a pause. */
    public void resume() {
        if (!mPaused) {
            return;
        }
        mPaused = false;
        if (!mStopped) {
            listenAgain();
        }
    }

    private void listenAgain() {
        ChannelFuture bound = mBootstrap.bind(mAddress);
        mListener = bound.channel();
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        return;
                    }
                    LOG.error("can't listen on {}: {}", mAddress, done.cause().getMessage());
                    if (!mPaused && !mStopped) {
                        var unused =
                                mBootstrap
                                        .config()
                                        .group()
                                        .schedule(
                                                this::listenAgainIfClosed,
                                                LISTEN_RETRY_MS,
                                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void listenAgainIfClosed() {
        if (!mPaused && !mStopped && !mListener.isOpen()) {
            listenAgain();
        }
    }

    /** Returns whether new connections are refused for a while. */
    public boolean isPaused() {
        return mPaused;
    }

    /** Closes the connections on which no request is in progress. */
    public void closeIdle() {
        List.copyOf(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /** Has each request in progress answered at once, before the process exits. */
    public void endRequests(long nowMs) {
        List.copyOf(mConnections).forEach(c -> c.endRequest(nowMs));
    }

    /** Returns the number of connections on which a request is in progress. */
    public int busyConnections() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    /**
     * What was written to connections and not yet taken by their sockets.
     *
     * @param connections how many connections hold such bytes
     * @param bytes the bytes of all of them
     */
    public record Unsent(int connections, long bytes) {}

    /** Returns what would be lost if the process ended now. */
    public Unsent unsent() {
        long[] bytes = mConnections.stream().mapToLong(CallerConnection::unsentBytes).toArray();
        return new Unsent(
                (int) Arrays.stream(bytes).filter(b -> b > 0).count(), Arrays.stream(bytes).sum());
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mConnections.size();
    }

    /** Returns the number of requests whose heads were read but not yet handed over. */
    int waitingRequests() {
        return mWaitingRequests;
    }

    void onHandover(long nowMs, long readMs) {
        mIntake.onHandover(nowMs, readMs, mWaitingRequests);
    }

    boolean closesAfterAnswer(long nowMs) {
        return mPaused || mIntake.closesAfterAnswer(nowMs, mConnections.size());
    }

    void countWaiting(int change) {
        mWaitingRequests += change;
    }

    IntakeListener intake() {
        return mIntake;
    }

    /** Schedules the handover of a request that was just read. */
    void schedule(EventLoop loop, Runnable handover) {
        mHandovers.ifPresentOrElse(q -> q.add(loop, handover), () -> loop.execute(handover));
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
            LOG.debug("a connection from a caller failed: {}", cause.getMessage());
        } else {
            LOG.error("internal error on a connection from a caller", cause);
        }
    }

    /** Sets up the pipeline of each accepted connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            CallerConnection connection = new CallerConnection(CallerServer.this, mClock);
            mConnections.add(connection);
            // Reads until the socket is empty, to detect a caller's close with its last request.
            AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
            reads.respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS);
            Optional<BufferLimit> limit = mIntake.bufferLimit();
            channel.config()
                    .setRecvByteBufAllocator(
                            limit.<RecvByteBufAllocator>map(l -> new BoundedReads(l, reads))
                                    .orElse(reads));
            mLinkBytes.ifPresent(channel.pipeline()::addLast);
            limit.ifPresent(
                    l ->
                            channel.pipeline()
                                    .addLast(new WriteBacklog(l, channel, connection, mClock)));
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

    /** Notifies a connection of bytes before they are decoded, to detect slow heads. */
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
