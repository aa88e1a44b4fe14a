package org.hornbeampass.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.FrameKind;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;

/**
 * Sends messages to one other router: connects on demand, and backs off after failures.
 *
 * <p>Invariants: there is at most one connection, including one that is being established; the
 * queue of frames that wait for it is bounded; during the backoff after a failure, nothing is
 * queued. Thread-safe: one lock guards the state; it is acquired before a channel's own locks, and
 * is never held while a reply callback runs.
 */
final class PeerLink {
    private static final Logger LOG = LogManager.getLogger(PeerLink.class);

    private final Object mLock = new Object();
    private final PeerContext mContext;
    private final String mPeer;
    private final PendingRequests mPending;
    private final Backoff mBackoff;
    private final ArrayDeque<Frame> mQueue = new ArrayDeque<>();
    private Optional<OutboundConnection> mConnection = Optional.empty();
    private Optional<Channel> mChannel = Optional.empty();
    private int mQueuedBytes;
    private int mFailures;
    private long mRetryAtMs;
    private boolean mClosed;

    PeerLink(PeerContext context, String peer) {
        mContext = context;
        mPeer = peer;
        mPending = new PendingRequests(context);
        PeerSettings.Timing timing = context.settings().timing();
        mBackoff = new Backoff(timing.minBackoffMs(), timing.maxBackoffMs());
    }

    /** Sends a message that expects no reply; it is dropped and counted if it can't be sent. */
    void send(long nowMs, int typeNumber, byte[] body) {
        Frame frame = new Frame(FrameHeader.message(FrameKind.ONE_WAY, typeNumber, 0), body);
        if (writeOrQueue(nowMs, frame).isPresent()) {
            mContext.counters().recordDropped();
        }
    }

    /**
     * Sends a request.
     *
     * @param timeoutMs how long to wait for the reply, in milliseconds
     * @param done receives the time in milliseconds and the reply or failure, exactly once
     */
    void request(
            long nowMs,
            int typeNumber,
            byte[] body,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        OptionalLong correlation = mPending.add(mPeer, timeoutMs, done);
        if (correlation.isEmpty()) {
            mContext.counters().recordDropped();
            done.accept(
                    nowMs,
                    Either.left(
                            Failure.of(
                                    ErrorKind.OVERLOADED,
                                    "too many pending requests to " + mPeer)));
            return;
        }
        FrameHeader header =
                FrameHeader.message(FrameKind.REQUEST, typeNumber, correlation.getAsLong());
        Optional<Failure> failure = writeOrQueue(nowMs, new Frame(header, body));
        if (failure.isPresent()) {
            mContext.counters().recordDropped();
            mPending.complete(correlation.getAsLong(), Either.left(failure.get()));
        }
    }

    /** Closes the link permanently; pending requests fail. */
    void close() {
        Optional<Channel> channel;
        synchronized (mLock) {
            mClosed = true;
            channel = mChannel;
            clearQueue();
        }
        channel.ifPresent(Channels::close);
        mPending.failAll(ErrorKind.SHUTTING_DOWN, "the link to " + mPeer + " is closed");
    }

    private Optional<Failure> writeOrQueue(long nowMs, Frame frame) {
        boolean connect;
        synchronized (mLock) {
            if (mClosed) {
                return rejection(ErrorKind.SHUTTING_DOWN, "the link to " + mPeer + " is closed");
            }
            if (mConnection.isPresent()) {
                return mConnection.get().write(frame)
                        ? Optional.empty()
                        : rejection(ErrorKind.OVERLOADED, mPeer + " does not read fast enough");
            }
            connect = mChannel.isEmpty() && mQueue.isEmpty();
            if (connect && nowMs < mRetryAtMs) {
                return rejection(
                        ErrorKind.NOT_READY,
                        mPeer + " was unreachable at the last attempt; retrying later");
            }
            if (mQueuedBytes + frame.wireBytes() > maxQueuedBytes()) {
                return rejection(ErrorKind.OVERLOADED, "too many bytes queued for " + mPeer);
            }
            mQueue.add(frame);
            mQueuedBytes += frame.wireBytes();
        }
        if (connect) {
            connect();
        }
        return Optional.empty();
    }

    private int maxQueuedBytes() {
        return mContext.settings().limits().maxQueuedBytes();
    }

    private static Optional<Failure> rejection(ErrorKind kind, String message) {
        return Optional.of(Failure.of(kind, message));
    }

    private void connect() {
        Optional<InetSocketAddress> address = mContext.addresses().apply(mPeer);
        if (address.isEmpty()) {
            onDisconnected("no address is known");
            return;
        }
        int timeoutMs = (int) mContext.settings().timing().handshakeMs();
        ChannelFuture connected =
                new Bootstrap()
                        .group(mContext.loops().group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, timeoutMs))
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(maxQueuedBytes() / 2, maxQueuedBytes()))
                        .handler(new Initializer(address.get()))
                        .connect(address.get());
        Channel channel = connected.channel();
        boolean closed;
        synchronized (mLock) {
            mChannel = Optional.of(channel);
            closed = mClosed;
        }
        channel.closeFuture().addListener(done -> onDisconnected("the connection was closed"));
        connected.addListener(
                done -> {
                    if (closed || !done.isSuccess()) {
                        Channels.close(channel);
                    }
                });
    }

    private void onConnected(OutboundConnection connection) {
        synchronized (mLock) {
            if (mClosed) {
                connection.close();
                return;
            }
            mConnection = Optional.of(connection);
            mFailures = 0;
            mQueue.forEach(connection::write);
            clearQueue();
        }
        connection.startLivenessChecks();
    }

    private void onDisconnected(String reason) {
        ErrorKind kind;
        synchronized (mLock) {
            kind = mConnection.isPresent() ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NOT_READY;
            mFailures++;
            double random = ThreadLocalRandom.current().nextDouble();
            mRetryAtMs = mContext.clock().nowMs() + mBackoff.delayMs(mFailures, random);
            mChannel = Optional.empty();
            mConnection = Optional.empty();
            clearQueue();
        }
        LOG.debug("{} is unreachable: {}", mPeer, reason);
        mPending.failAll(kind, mPeer + " is unreachable: " + reason);
    }

    private void clearQueue() {
        mQueue.clear();
        mQueuedBytes = 0;
    }

    /** Initializes the pipeline of a connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final InetSocketAddress mAddress;

        Initializer(InetSocketAddress address) {
            mAddress = address;
        }

        @Override
        protected void initChannel(Channel channel) {
            OutboundConnection connection =
                    new OutboundConnection(mContext, mPeer, channel, mPending);
            mContext.clientTls()
                    .ifPresent(
                            tls ->
                                    channel.pipeline()
                                            .addLast(
                                                    tls.newHandler(
                                                            channel.alloc(),
                                                            mAddress.getHostString(),
                                                            mAddress.getPort())));
            channel.pipeline()
                    .addLast(
                            new FrameCodec(mContext.counters()),
                            new ConnectingHandshake(mContext, mPeer, () -> onConnected(connection)),
                            connection);
        }
    }
}
