package org.hornbeampass.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.FrameKind;
import org.hornbeampass.protocol.peer.PeerCodec;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Channels;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Handles the frames of an authenticated connection from another router.
 *
 * <p>Invariants: at most one response is sent to a request; a message of an unknown type leaves the
 * connection open, and one that can't be decoded closes it. Used on one event loop, except for
 * replies, which any thread may send.
 */
final class InboundConnection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(InboundConnection.class);

    private final PeerContext mContext;
    private final PeerHandlers mHandlers;
    private final VmId mFrom;
    private final FrameWriter mWriter;

    InboundConnection(PeerContext context, PeerHandlers handlers, VmId from, Channel channel) {
        mContext = context;
        mHandlers = handlers;
        mFrom = from;
        mWriter = new FrameWriter(channel);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        Optional<FrameKind> kind = frame.header().kind();
        if (kind.isEmpty()) {
            mContext.counters().recordUnknown();
            sendControl(frame, FrameKind.UNSUPPORTED);
            return;
        }
        switch (kind.get()) {
            case ONE_WAY, REQUEST -> onMessage(context, frame, kind.get());
            case PING -> sendControl(frame, FrameKind.PONG);
            default -> mContext.counters().recordUnknown();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.warn("connection from {} failed: {}", mFrom, cause.toString());
        Channels.close(context.channel());
    }

    private void onMessage(ChannelHandlerContext context, Frame frame, FrameKind kind) {
        boolean request = kind == FrameKind.REQUEST;
        PeerType.Form form = request ? PeerType.Form.REQUEST : PeerType.Form.ONE_WAY;
        Optional<PeerType> type =
                mContext.settings()
                        .types()
                        .byNumber(frame.header().typeNumber())
                        .filter(t -> t.form() == form && mHandlers.handles(t));
        if (type.isEmpty()) {
            mContext.counters().recordUnknown();
            if (request) {
                sendControl(frame, FrameKind.UNSUPPORTED);
            }
            return;
        }
        Either<Failure, PeerMessage> message =
                PeerCodec.decode(frame.body(), type.get().messageClass());
        if (message.isLeft()) {
            mContext.counters().recordMalformed();
            LOG.warn("closing the connection from {}: {}", mFrom, message.getLeft().message());
            Channels.close(context.channel());
            return;
        }
        handle(frame, message.get(), request);
    }

    private void handle(Frame frame, PeerMessage message, boolean request) {
        AtomicBoolean answered = new AtomicBoolean(!request);
        boolean handled =
                mHandlers.handle(
                        mContext.clock().nowMs(),
                        mFrom,
                        message,
                        reply -> {
                            if (answered.compareAndSet(false, true)) {
                                sendReply(frame, reply);
                            }
                        });
        if (!handled && answered.compareAndSet(false, true)) {
            sendControl(frame, FrameKind.FAILED);
        }
    }

    private void sendReply(Frame request, PeerMessage reply) {
        Optional<PeerType> type = mContext.settings().types().byClass(reply.getClass());
        if (type.isEmpty()) {
            LOG.error("{} is not listed in PeerMessageType", reply.getClass());
            sendControl(request, FrameKind.FAILED);
            return;
        }
        FrameHeader header =
                FrameHeader.message(
                        FrameKind.REPLY, type.get().number(), request.header().correlation());
        write(new Frame(header, PeerCodec.encode(reply)));
    }

    private void sendControl(Frame request, FrameKind kind) {
        write(Frame.control(kind, request.header().correlation()));
    }

    private void write(Frame frame) {
        if (!mWriter.write(frame)) {
            mContext.counters().recordDropped();
        }
    }
}
