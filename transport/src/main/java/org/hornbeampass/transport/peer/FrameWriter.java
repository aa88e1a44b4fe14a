package org.hornbeampass.transport.peer;

import io.netty.channel.Channel;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Writes frames to one channel, with one flush for all that were written in one turn of its loop.
 *
 * <p>Invariant: once more bytes wait than the channel's high water mark, frames are refused until
 * it has caught up. Thread-safe.
 */
final class FrameWriter {
    private final Channel mChannel;
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();

    FrameWriter(Channel channel) {
        mChannel = channel;
    }

    /** Writes a frame and returns whether it was taken. */
    boolean write(Frame frame) {
        if (!mChannel.isWritable()) {
            return false;
        }
        var unused = mChannel.write(frame);
        if (mFlushScheduled.compareAndSet(false, true)) {
            scheduleFlush();
        }
        return true;
    }

    private void scheduleFlush() {
        try {
            mChannel.eventLoop().execute(this::flush);
        } catch (RejectedExecutionException e) {
            mFlushScheduled.set(false);
        }
    }

    private void flush() {
        mFlushScheduled.set(false);
        mChannel.flush();
    }
}
