package org.hornbeampass.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.FrameKind;
import org.hornbeampass.protocol.peer.PeerCodec;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A connection to another router: sends messages, receives replies, and detects a dead peer.
 *
 * <p>Invariants: if something was sent since the last frame was received, the next check sends a
 * ping; if nothing is received by the check after that, the connection is closed, so that
 * reconnecting after a network failure does not wait for TCP's own long timers. State is confined
 * to the event loop, except for the volatile fields that record sends, which any thread sets.
 */
final class OutboundConnection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(OutboundConnection.class);

    private final PeerContext mContext;
    private final String mPeer;
    private final Channel mChannel;
    private final PendingRequests mPending;
    private final FrameWriter mWriter;
    private volatile boolean mSentSinceLastReceived;
    private volatile long mLastSentMs;
    private boolean mPingOutstanding;

    OutboundConnection(PeerContext context, String peer, Channel channel, PendingRequests pending) {
        mContext = context;
        mPeer = peer;
        mChannel = channel;
        mPending = pending;
        mWriter = new FrameWriter(channel);
        mLastSentMs = context.clock().nowMs();
    }

    /** Sends a frame; returns false if the channel is not writable. Callable from any thread. */
    boolean write(Frame frame) {
        mSentSinceLastReceived = true;
        mLastSentMs = mContext.clock().nowMs();
        return mWriter.write(frame);
    }

    /** Starts the periodic liveness checks; called once the handshake is complete. */
    void startLivenessChecks() {
        long pingMs = mContext.settings().timing().pingMs();
        Future<?> checks =
                mChannel.eventLoop()
                        .scheduleWithFixedDelay(
                                this::checkLiveness, pingMs, pingMs, TimeUnit.MILLISECONDS);
        mChannel.closeFuture().addListener(closed -> checks.cancel(false));
    }

    void close() {
        Channels.close(mChannel);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        mSentSinceLastReceived = false;
        mPingOutstanding = false;
        long correlation = frame.header().correlation();
        Optional<FrameKind> kind = frame.header().kind();
        if (kind.isEmpty()) {
            mContext.counters().recordUnknown();
            return;
        }
        switch (kind.get()) {
            case REPLY -> onReply(frame);
            case UNSUPPORTED ->
                    fail(
                            correlation,
                            ErrorKind.NOT_FOUND,
                            " does not support this type of request");
            case FAILED -> fail(correlation, ErrorKind.INTERNAL, " failed to handle this request");
            case PONG -> LOG.trace("received a pong from {}", mPeer);
            default -> mContext.counters().recordUnknown();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("connection to {} failed", mPeer, cause);
        Channels.close(mChannel);
    }

    private void onReply(Frame frame) {
        long correlation = frame.header().correlation();
        Optional<PeerType> type = mContext.settings().types().byNumber(frame.header().typeNumber());
        if (type.isEmpty()) {
            mContext.counters().recordUnknown();
            fail(correlation, ErrorKind.NOT_FOUND, " sent a reply of an unknown type");
            return;
        }
        Either<Failure, PeerMessage> reply =
                PeerCodec.decode(frame.body(), type.get().messageClass());
        mPending.complete(correlation, reply);
        if (reply.isLeft()) {
            mContext.counters().recordMalformed();
            LOG.warn("closing the connection to {}: {}", mPeer, reply.getLeft().message());
            Channels.close(mChannel);
        }
    }

    private void fail(long correlation, ErrorKind kind, String reason) {
        mPending.complete(correlation, Either.left(Failure.of(kind, mPeer + reason)));
    }

    private void checkLiveness() {
        PeerSettings.Timing timing = mContext.settings().timing();
        if (mPingOutstanding) {
            LOG.info("closing the connection to {}: no reply to a ping", mPeer);
            Channels.close(mChannel);
            return;
        }
        if (mSentSinceLastReceived) {
            mPingOutstanding = true;
            mWriter.write(Frame.control(FrameKind.PING, 0));
            return;
        }
        if (mContext.clock().nowMs() - mLastSentMs >= timing.idleMs() && mPending.isEmpty()) {
            Channels.close(mChannel);
        }
    }
}
