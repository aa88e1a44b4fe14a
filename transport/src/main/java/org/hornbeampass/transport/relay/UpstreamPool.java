package org.hornbeampass.transport.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

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

    private final EventLoops mLoops;
    private final Clock mClock;
    private final Map<String, ArrayDeque<UpstreamConnection>> mIdle = new HashMap<>();
    private long mOpened;

    /** Creates an empty pool; the event loops must have exactly one thread. */
    public UpstreamPool(EventLoops loops, Clock clock) {
        mLoops = loops;
        mClock = clock;
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

    private void open(
            String address, int connectTimeoutMs, Consumer<Optional<UpstreamConnection>> done) {
        UpstreamConnection connection = new UpstreamConnection(this, address, mClock);
        mOpened++;
        new Bootstrap()
                .group(mLoops.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .handler(new Initializer(connection))
                .connect(socketAddress(address))
                .addListener(
                        opened ->
                                done.accept(
                                        opened.isSuccess()
                                                ? Optional.of(connection)
                                                : Optional.empty()));
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

    void onFault(Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("a connection to an upstream failed: {}", cause.getMessage());
        } else {
            LOG.error("internal error on a connection to an upstream", cause);
        }
    }

    /** Sets up the pipeline of a new connection. */
    private static final class Initializer extends ChannelInitializer<Channel> {
        private final UpstreamConnection mConnection;

        Initializer(UpstreamConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES))
                    .addLast(mConnection);
        }
    }
}
