package org.hornbeampass.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

import org.hornbeampass.transport.Channels;

/**
 * The answers of one connection that were written in whole and that its socket has not taken yet,
 * since the caller reads slowly.
 *
 * <p>Such an answer is lost if the connection is closed. Confined to one event loop.
 */
final class UnsentAnswers {
    private final Channel mChannel;
    private int mCount;
    private long mBytes;
    private long mProgressMs;
    private boolean mClosing;

    UnsentAnswers(Channel channel, long openedMs) {
        mChannel = channel;
        mProgressMs = openedMs;
    }

    /** Counts an answer whose end is written. */
    void onEnding() {
        mCount++;
    }

    /** Takes off an answer that the socket has taken. */
    void onSent(long nowMs) {
        mCount--;
        mProgressMs = nowMs;
        closeIfDue();
    }

    /** Closes the channel once the socket has taken all answers whose end was written. */
    void closeOnceSent() {
        mClosing = true;
        closeIfDue();
    }

    private void closeIfDue() {
        if (mClosing && mCount == 0) {
            Channels.close(mChannel);
        }
    }

    boolean isEmpty() {
        return mCount == 0;
    }

    /** Returns how many written bytes the socket has not taken. */
    long bytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    /** Returns for how long, in milliseconds, the socket has taken nothing. */
    long idleMs(long nowMs) {
        long bytes = bytes();
        if (bytes != mBytes) {
            mBytes = bytes;
            mProgressMs = nowMs;
        }
        return nowMs - mProgressMs;
    }
}
