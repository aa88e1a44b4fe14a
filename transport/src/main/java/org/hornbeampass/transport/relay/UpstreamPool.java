package org.hornbeampass.transport.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.transport.AnswerDecoder;
import org.hornbeampass.transport.BoundedInput;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.ReceiveTimeout;
import org.hornbeampass.transport.UpstreamLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Opens connections to upstreams and keeps idle ones for reuse until their idle limit.
 *
 * <p>Invariant: a connection is used by at most one request at a time. Confined to one event loop.
 */
public final class UpstreamPool {
    private static final Logger LOG = LogManager.getLogger(UpstreamPool.class);
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;
    private static final int LOW_WATER_BYTES = 32 << 10;
    private static final int HIGH_WATER_BYTES = 128 << 10;

    /**
     * The least time given to a connection, in milliseconds, for its failure to say that the
     * address is unreachable.
     */
    private static final int MIN_CONCLUSIVE_MS = 200;

    /** Receives whether connections could be opened, and why idle ones were closed. */
    public interface ConnectListener {
        /** Ignores all connections. */
        ConnectListener NONE =
                new ConnectListener() {
                    @Override
                    public void onOpened(long nowMs, String address) {}

                    @Override
                    public void onUnreachable(long nowMs, String address) {}

                    @Override
                    public void onUnrequestedInput(
                            long nowMs, String address, UnrequestedInput where) {}
                };

        /** Called when a new connection to an address has opened. */
        void onOpened(long nowMs, String address);

        /** Called when an address refused a connection, or did not accept it in time. */
        void onUnreachable(long nowMs, String address);

        /** Called when a connection is closed, since bytes arrived that belong to no request. */
        void onUnrequestedInput(long nowMs, String address, UnrequestedInput where);
    }

    private final EventLoops mLoops;
    private final Clock mClock;
    private final ConnectListener mConnectListener;
    private final UpstreamLimits mLimits;
    private final Optional<LinkBytes> mLinkBytes;
    private final Map<String, ArrayDeque<UpstreamConnection>> mIdle = new HashMap<>();
    private Optional<BufferLimit> mBufferLimit = Optional.empty();
    private long mOpened;

    /**
     * Creates an empty pool.
     *
     * @param loops the event loops, which must have exactly one thread
     * @param clock the clock
     * @param connectListener receives whether connections could be opened
     */
    public UpstreamPool(EventLoops loops, Clock clock, ConnectListener connectListener) {
        this(loops, clock, connectListener, UpstreamLimits.DEFAULT, Optional.empty());
    }

    /**
     * Creates an empty pool.
     *
     * @param loops the event loops, which must have exactly one thread
     * @param clock the clock
     * @param connectListener receives whether connections could be opened
     * @param limits bound what is read of an answer outside its body
     * @param linkBytes counts the bytes that are read and written, if present
     */
    public UpstreamPool(
            EventLoops loops,
            Clock clock,
            ConnectListener connectListener,
            UpstreamLimits limits,
            Optional<LinkBytes> linkBytes) {
        mLoops = loops;
        mClock = clock;
        mConnectListener = connectListener;
        mLimits = limits;
        mLinkBytes = linkBytes;
    }

    /** Bounds what is held for slow upstreams; only before the first connection is opened. */
    public void setBufferLimit(BufferLimit limit) {
        mBufferLimit = Optional.of(limit);
    }

    /** Returns the bounds on what is read of an answer. */
    public UpstreamLimits limits() {
        return mLimits;
    }

    /**
     * Reuses an idle connection to an upstream or opens a new one.
     *
     * @param nowMs the present time in milliseconds
     * @param address the upstream's address, as an IP address and a port
     * @param maxIdleMs how long a reused connection may have been idle, in milliseconds
     * @param connectTimeoutMs how long opening a connection may take, in milliseconds
     * @param done receives the connection, or empty if none could be opened; run once, on the loop
     */
    public void connect(
            long nowMs,
            String address,
            long maxIdleMs,
            int connectTimeoutMs,
            Consumer<Optional<UpstreamConnection>> done) {
        ArrayDeque<UpstreamConnection> idle = mIdle.getOrDefault(address, new ArrayDeque<>());
        if (!idle.isEmpty() && idle.peekLast().isFresh(nowMs, maxIdleMs)) {
            done.accept(Optional.of(idle.pollLast()));
            return;
        }
        open(address, connectTimeoutMs, done);
    }

    /**
     * Checks whether an address accepts connections; a connection that opens is kept for later
     * requests.
     *
     * @param address the upstream's address, as an IP address and a port
     * @param connectTimeoutMs how long opening the connection may take, in milliseconds
     * @param done receives whether the connection opened; run once, on the loop
     */
    public void probe(String address, int connectTimeoutMs, Consumer<Boolean> done) {
        open(
                address,
                connectTimeoutMs,
                connection -> {
                    connection.ifPresent(UpstreamConnection::returnToPool);
                    done.accept(connection.isPresent());
                });
    }

    /**
     * Checks whether an address accepts connections and keeps them open. The connection is not used
     * for requests, since the process that accepted it may be exiting.
     *
     * @param address the upstream's address, as an IP address and a port
     * @param connectTimeoutMs how long opening the connection may take, in milliseconds
     * @param holdMs how long it must stay open, in milliseconds
     * @param done receives the result; run once, on the loop
     */
    public void probe(
            String address, int connectTimeoutMs, int holdMs, Consumer<ProbeResult> done) {
        open(
                address,
                connectTimeoutMs,
                opened -> {
                    if (opened.isPresent()) {
                        opened.get().hold(holdMs, done);
                    } else {
                        done.accept(ProbeResult.REFUSED);
                    }
                });
    }

    private void open(
            String address, int connectTimeoutMs, Consumer<Optional<UpstreamConnection>> done) {
        UpstreamConnection connection = new UpstreamConnection(this, address, mClock);
        mOpened++;
        EventLoop loop = mLoops.group().next();
        ChannelFuture opening =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Tells the end of the upstream's output from other ends of the connection.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        // Netty's own timeout runs before an opened connection is noticed.
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                        .handler(
                                new Initializer(
                                        connection, Math.min(MAX_HEAD_BYTES, mLimits.headBytes())))
                        .connect(socketAddress(address));
        ReceiveTimeout timeout =
                ReceiveTimeout.start(
                        ReceiveTimeout.Timers.of(loop, mClock),
                        mClock.nowMs(),
                        connectTimeoutMs,
                        nowMs -> Channels.close(opening.channel()));
        opening.addListener(
                opened -> {
                    boolean timedOut = !timeout.cancel();
                    boolean tooShort = timedOut && connectTimeoutMs < MIN_CONCLUSIVE_MS;
                    if (opened.isSuccess()) {
                        mConnectListener.onOpened(mClock.nowMs(), address);
                    } else if (!tooShort) {
                        mConnectListener.onUnreachable(mClock.nowMs(), address);
                    }
                    done.accept(opened.isSuccess() ? Optional.of(connection) : Optional.empty());
                });
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Closes idle connections that their upstream is about to close. */
    public void tick(long nowMs) {
        for (ArrayDeque<UpstreamConnection> idle : mIdle.values()) {
            while (!idle.isEmpty() && idle.peekFirst().isExpired(nowMs)) {
                idle.pollFirst().close();
            }
        }
        mIdle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Closes the idle connections to an address, since the process that listened there ended. */
    public void closeIdle(String address) {
        ArrayDeque<UpstreamConnection> idle = mIdle.remove(address);
        if (idle != null) {
            List.copyOf(idle).forEach(UpstreamConnection::close);
        }
    }

    /** Returns the number of attempts to open a connection since the start. */
    public long openedConnections() {
        return mOpened;
    }

    void onIdle(UpstreamConnection connection) {
        mIdle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>()).addLast(connection);
    }

    void onClosed(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> idle = mIdle.get(connection.address());
        if (idle != null) {
            idle.remove(connection);
        }
    }

    void onUnrequestedInput(long nowMs, String address, UnrequestedInput where) {
        mConnectListener.onUnrequestedInput(nowMs, address, where);
    }

    void onFault(Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("a connection to an upstream failed: {}", cause.getMessage());
        } else {
            LOG.error("internal error on a connection to an upstream", cause);
        }
    }

    /** Sets up the pipeline of a new connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final UpstreamConnection mConnection;
        private final int mMaxHeadBytes;

        Initializer(UpstreamConnection connection, int maxHeadBytes) {
            mConnection = connection;
            mMaxHeadBytes = maxHeadBytes;
        }

        @Override
        protected void initChannel(Channel channel) {
            mLinkBytes.ifPresent(channel.pipeline()::addLast);
            mBufferLimit.ifPresent(l -> addBufferLimit(channel, l));
            channel.pipeline()
                    .addLast(new BoundedInput(mConnection.bound(), mConnection))
                    .addLast(
                            new AnswerDecoder(
                                    new HttpDecoderConfig()
                                            .setMaxInitialLineLength(MAX_LINE_BYTES)
                                            .setMaxHeaderSize(mMaxHeadBytes)
                                            .setMaxChunkSize(MAX_CHUNK_BYTES),
                                    mConnection::methodOf))
                    .addLast(new HttpRequestEncoder())
                    .addLast(mConnection);
        }

        private void addBufferLimit(Channel channel, BufferLimit limit) {
            AdaptiveRecvByteBufAllocator reads = new AdaptiveRecvByteBufAllocator();
            reads.maxMessagesPerRead(channel.metadata().defaultMaxMessagesPerRead());
            channel.config().setRecvByteBufAllocator(new BoundedReads(limit, reads));
            channel.pipeline().addLast(new WriteBacklog(limit, channel, mConnection, mClock));
        }
    }
}
