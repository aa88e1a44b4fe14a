package org.hornbeampass.transport.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.FrameKind;
import org.hornbeampass.protocol.peer.Handshake;
import org.hornbeampass.protocol.peer.HandshakeProof;
import org.hornbeampass.transport.Channels;

import java.util.Optional;

/**
 * Runs the listening side of the handshake.
 *
 * <p>Invariant: no message is handled before the other side has proved that it holds the cluster
 * key. Not thread-safe: used on one event loop.
 */
final class ListeningHandshake extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(ListeningHandshake.class);

    private final PeerContext mContext;
    private final PeerHandlers mHandlers;
    private Optional<HandshakeTimeout> mTimeout = Optional.empty();
    private Optional<HandshakeProof> mProof = Optional.empty();

    ListeningHandshake(PeerContext context, PeerHandlers handlers) {
        mContext = context;
        mHandlers = handlers;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTimeout =
                Optional.of(
                        new HandshakeTimeout(
                                context.channel(), mContext.settings().timing().handshakeMs()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (mProof.isEmpty()) {
            sendChallenge(context, frame);
        } else {
            completeHandshake(context, frame, mProof.get());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("handshake with {} failed", context.channel().remoteAddress(), cause);
        Channels.close(context.channel());
    }

    private void sendChallenge(ChannelHandlerContext context, Frame frame) {
        Optional<Handshake.Hello> hello =
                frame.is(FrameKind.HELLO) ? Handshake.Hello.decode(frame.body()) : Optional.empty();
        PeerSettings settings = mContext.settings();
        if (hello.isEmpty() || !hello.get().to().equals(settings.self().name())) {
            reject(context, "it did not request a connection to " + settings.self().name());
            return;
        }
        HandshakeProof proof = new HandshakeProof(hello.get(), settings.self(), Nonces.next());
        mProof = Optional.of(proof);
        Handshake.Challenge challenge =
                new Handshake.Challenge(
                        FrameHeader.VERSION,
                        settings.self(),
                        proof.listenerNonce(),
                        proof.computeProof(settings.key(), HandshakeProof.Side.LISTENING));
        Channels.send(context.channel(), Frame.handshake(FrameKind.CHALLENGE, challenge.encode()));
    }

    private void completeHandshake(
            ChannelHandlerContext context, Frame frame, HandshakeProof proof) {
        PeerSettings settings = mContext.settings();
        if (!frame.is(FrameKind.PROOF)
                || !proof.verifyProof(
                        frame.body(), settings.key(), HandshakeProof.Side.CONNECTING)) {
            reject(context, "it did not prove that it holds the cluster key");
            return;
        }
        mTimeout.ifPresent(HandshakeTimeout::cancel);
        context.pipeline()
                .get(FrameCodec.class)
                .setMaxFrameBytes(settings.limits().maxFrameBytes());
        context.pipeline()
                .replace(
                        this,
                        null,
                        new InboundConnection(
                                mContext, mHandlers, proof.hello().from(), context.channel()));
        mContext.counters().recordConnected();
    }

    private void reject(ChannelHandlerContext context, String reason) {
        mContext.counters().recordRejectedHandshake();
        LOG.warn("rejected the handshake of {}: {}", context.channel().remoteAddress(), reason);
        Channels.close(context.channel());
    }
}
