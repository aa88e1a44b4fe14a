package org.hornbeampass.transport.peer;

import io.netty.channel.Channel;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Writes frames to a channel, with one flush for all frames written in one event loop iteration.
 *
 * <p>Invariant: once the unsent bytes exceed the channel's high water mark, frames are rejected
 * until they have fallen below its low water mark. Thread-safe.
 */
final class FrameWriter {
    private final Channel mChannel;
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();

    FrameWriter(Channel channel) {
        mChannel = channel;
    }

    /** Writes a frame; returns false if it was rejected because the channel is not writable. */
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
