package org.hornbeampass.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

import org.hornbeampass.transport.Channels;

/**
 * The rest of a request that is still to be received when its answer closes the connection.
 *
 * <p>Closing a socket with unread data resets the connection, and a caller that is still sending
 * may then not see the answer. Therefore the end of the answer is signalled first, and the rest is
 * read and discarded for a bounded time and up to a bounded number of bytes. Confined to one event
 * loop.
 */
final class DiscardedRest {
    private static final long MAX_MS = 1_000;

    /** As much as the buffers of a connection hold that is still being sent to. */
    private static final long MAX_BYTES = 1 << 20;

    private boolean mActive;
    private boolean mComplete;
    private long mUntilMs;
    private long mBytes;

    /** Begins to discard, after the answer was written; closes at once if nothing is missing. */
    void begin(long nowMs, Channel channel) {
        if (mComplete || !(channel instanceof DuplexChannel duplex)) {
            Channels.close(channel);
            return;
        }
        mActive = true;
        mUntilMs = nowMs + MAX_MS;
        Channels.shutdownOutput(duplex);
        channel.config().setAutoRead(true);
    }

    /** Counts a message that is not handled; the user of this method releases it. */
    void onMessage(Channel channel, Object message) {
        mComplete |= message instanceof LastHttpContent;
        if (message instanceof HttpContent content) {
            mBytes += content.content().readableBytes();
        }
        if (mActive && (mComplete || mBytes > MAX_BYTES)) {
            Channels.close(channel);
        }
    }

    /** Returns whether the rest is being discarded; closes the channel when its time is over. */
    boolean isActive(long nowMs, Channel channel) {
        if (mActive && nowMs >= mUntilMs) {
            Channels.close(channel);
        }
        return mActive;
    }
}
