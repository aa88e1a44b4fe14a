package org.hornbeampass.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

import java.util.Optional;

/**
 * Passes what was read from a socket on to the decoder after it, and checks the bound on the answer
 * once it was decoded.
 *
 * <p>Invariant: bytes that belong to no request are not decoded. Confined to one event loop.
 */
public final class BoundedInput extends ChannelInboundHandlerAdapter {
    /** The connection whose input is bounded. */
    public interface Connection {
        /** Returns whether an answer is awaited, so that bytes may arrive. */
        boolean isAnswerExpected();

        /** Called when bytes arrive that belong to no request. */
        void onUnexpectedInput();

        /**
         * Called when an answer exceeds its bound.
         *
         * @param reason the bound, for logs
         */
        void onBoundExceeded(String reason);
    }

    private final AnswerInputBound mBound;
    private final Connection mConnection;

    /** Creates a handler that must be placed right before the decoder. */
    public BoundedInput(AnswerInputBound bound, Connection connection) {
        mBound = bound;
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!mConnection.isAnswerExpected()) {
            ReferenceCountUtil.release(message);
            mConnection.onUnexpectedInput();
            return;
        }
        mBound.onRead(((ByteBuf) message).readableBytes());
        context.fireChannelRead(message);
        if (!mConnection.isAnswerExpected()) {
            return;
        }
        Optional<String> reason = mBound.exceeded();
        reason.ifPresent(mConnection::onBoundExceeded);
    }
}
