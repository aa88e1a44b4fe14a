package org.hornbeampass.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads a caller's socket again if its last read is long ago, which closes the channel if the
 * caller has closed the connection.
 *
 * <p>If more was ready at once than can be handled in that time, as on a VM that has just started,
 * the caller may have disconnected since, and no request may reach an upstream half a second after
 * its caller disconnected. Reading in a later iteration of the event loop would postpone a request
 * indefinitely where each iteration takes longer than {@link #MAX_READ_AGE_MS}.
 *
 * <p>Confined to the channel's event loop.
 */
final class RepeatedRead {
    /** How long ago the socket may have been read, in milliseconds. */
    private static final long MAX_READ_AGE_MS = 100;

    private final Channel mChannel;
    private long mReadMs;
    private boolean mReading;

    RepeatedRead(Channel channel) {
        mChannel = channel;
    }

    /** Records a read of the socket. */
    void onRead(long nowMs) {
        mReadMs = nowMs;
    }

    /** Returns whether a read that began here is in progress. */
    boolean isReading() {
        return mReading;
    }

    /** Reads the socket if its last read is long ago; only outside of reads. */
    void readIfOld(long nowMs) {
        if (nowMs - mReadMs > MAX_READ_AGE_MS) {
            readNow(nowMs);
        }
    }

    /** Reads the socket; only outside of reads. */
    void readNow(long nowMs) {
        if (mChannel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            mReadMs = nowMs;
            mReading = true;
            socket.read();
            mReading = false;
        }
    }
}
