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
 * A connection to another router: sends messages, takes replies, and notices silence.
 *
 * <p>Invariants: a connection on which something was sent since the last word from the other side
 * is checked by a ping, and closed when the ping is not answered by the next check, so that a
 * healed network is not waited for by TCP's own long timers. State belongs to the event loop, but
 * for the marks of use, which any thread sets.
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

    /** Sends a frame and returns whether it was taken; on any thread. */
    boolean write(Frame frame) {
        mSentSinceLastReceived = true;
        mLastSentMs = mContext.clock().nowMs();
        return mWriter.write(frame);
    }

    /** Starts the checks, once the handshake is done. */
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
                    fail(correlation, ErrorKind.NOT_FOUND, " does not support this request");
            case FAILED -> fail(correlation, ErrorKind.INTERNAL, " failed on this request");
            case PONG -> LOG.trace("{} is there", mPeer);
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
            fail(correlation, ErrorKind.NOT_FOUND, " replied in a way that is not known here");
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
            LOG.info("closing the connection to {}: it has gone silent", mPeer);
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
