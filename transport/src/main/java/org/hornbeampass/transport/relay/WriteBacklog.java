package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;

import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.coordination.buffer.BufferReader;
import org.hornbeampass.coordination.buffer.ReaderAccount;
import org.hornbeampass.transport.Clock;

/**
 * Counts the bytes that were written to a connection and that its socket has not taken yet, for
 * loads under which many readers are slow at once.
 *
 * <p>Must come before the handlers that encode in a pipeline, so that it sees bytes. Invariant:
 * once the connection is closed, nothing is held. Confined to the channel's event loop.
 */
final class WriteBacklog extends ChannelDuplexHandler implements BufferReader {
    /** The connection whose other side reads. */
    interface Owner {
        /** Stops or resumes reading from the sender of what is written to this connection. */
        void setHeldUp(boolean heldUp);

        /** Closes the connection, since its other side reads too slowly. */
        void closeSlow(long nowMs, long heldBytes, long stalledMs);
    }

    private final Channel mChannel;
    private final Owner mOwner;
    private final Clock mClock;
    private final ReaderAccount mAccount;
    private long mUnwritten;
    private boolean mClosing;

    WriteBacklog(BufferLimit limit, Channel channel, Owner owner, Clock clock) {
        mChannel = channel;
        mOwner = owner;
        mClock = clock;
        mAccount = limit.open(this);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean counts = message instanceof ByteBuf bytes && bytes.isReadable();
        long before = unwritten();
        var unused = context.write(message, promise); // Its result goes to the promise.
        if (counts) {
            mUnwritten += unwritten() - before;
            mAccount.update(mClock.nowMs(), held(), false);
        }
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        if (mAccount.bytes() > 0) {
            count(mClock.nowMs());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mAccount.update(mClock.nowMs(), 0, false);
        context.fireChannelInactive();
    }

    /** Flushes first, so that no reader is closed for bytes that its socket would have taken. */
    @Override
    public void measure(long nowMs) {
        mChannel.unsafe().flush();
        count(nowMs);
    }

    private void count(long nowMs) {
        long unwritten = unwritten();
        boolean progressed = unwritten < mUnwritten;
        mUnwritten = unwritten;
        mAccount.update(nowMs, held(), progressed);
    }

    /** Returns the memory of what the socket has not taken; a buffer counts until it is empty. */
    private long held() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null || mClosing ? 0 : buffer.totalPendingWriteBytes();
    }

    private long unwritten() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    @Override
    public boolean holdsUpSender() {
        return true;
    }

    @Override
    public void setSenderPaused(boolean paused) {
        mOwner.setHeldUp(paused || mClosing);
    }

    /**
     * Closes the connection in a task of its own, since the bound may be reached while an answer is
     * being written to it; until then, nothing more is read for it.
     */
    @Override
    public boolean close(long nowMs, long heldBytes, long stalledMs) {
        mClosing = true;
        mOwner.setHeldUp(true);
        mAccount.update(nowMs, 0, false);
        mChannel.eventLoop().execute(() -> mOwner.closeSlow(nowMs, heldBytes, stalledMs));
        return true;
    }
}
