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
 * Runs the connecting side of the handshake.
 *
 * <p>Invariant: only the hello is sent before the other side has proved that it holds the cluster
 * key and has the requested VM name. Not thread-safe: used on one event loop.
 */
final class ConnectingHandshake extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LogManager.getLogger(ConnectingHandshake.class);

    private final PeerContext mContext;
    private final Handshake.Hello mHello;
    private final Runnable mOnCompleted;
    private Optional<HandshakeTimeout> mTimeout = Optional.empty();

    ConnectingHandshake(PeerContext context, String peer, Runnable onCompleted) {
        mContext = context;
        mHello =
                new Handshake.Hello(
                        FrameHeader.VERSION, context.settings().self(), peer, Nonces.next());
        mOnCompleted = onCompleted;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTimeout =
                Optional.of(
                        new HandshakeTimeout(
                                context.channel(), mContext.settings().timing().handshakeMs()));
        Channels.send(context.channel(), Frame.handshake(FrameKind.HELLO, mHello.encode()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        Optional<Handshake.Challenge> challenge =
                frame.is(FrameKind.CHALLENGE)
                        ? Handshake.Challenge.decode(frame.body())
                        : Optional.empty();
        Optional<HandshakeProof> proof = challenge.flatMap(this::verify);
        if (proof.isEmpty()) {
            mContext.counters().recordRejectedHandshake();
            LOG.warn(
                    "handshake failed: the VM at {} did not prove that it is {}",
                    context.channel().remoteAddress(),
                    mHello.to());
            Channels.close(context.channel());
            return;
        }
        byte[] ownProof =
                proof.get().computeProof(mContext.settings().key(), HandshakeProof.Side.CONNECTING);
        Channels.send(context.channel(), Frame.handshake(FrameKind.PROOF, ownProof));
        mTimeout.ifPresent(HandshakeTimeout::cancel);
        context.pipeline()
                .get(FrameCodec.class)
                .setMaxFrameBytes(mContext.settings().limits().maxFrameBytes());
        context.pipeline().remove(this);
        mContext.counters().recordConnected();
        mOnCompleted.run();
    }

    private Optional<HandshakeProof> verify(Handshake.Challenge challenge) {
        HandshakeProof proof = new HandshakeProof(mHello, challenge.from(), challenge.nonce());
        boolean proved =
                proof.verifyProof(
                        challenge.proof(),
                        mContext.settings().key(),
                        HandshakeProof.Side.LISTENING);
        return proved && challenge.from().name().equals(mHello.to())
                ? Optional.of(proof)
                : Optional.empty();
    }
}
