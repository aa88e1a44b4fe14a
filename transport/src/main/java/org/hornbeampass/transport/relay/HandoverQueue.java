package org.hornbeampass.transport.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.transport.Clock;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Hands over the requests that were read, in order, for a bounded time in each iteration of the
 * event loop.
 *
 * <p>An iteration reads and writes all sockets that are ready, then runs tasks for up to a second.
 * Without the bound, the answers that arrive while a burst of requests is handed over wait until
 * all of them are; with it they are written first. Invariant: at least one request is handed over
 * in each iteration, so that answers can't hold up requests for ever. Confined to one event loop.
 */
final class HandoverQueue {
    /**
     * How long requests are handed over in one iteration, in milliseconds. An answer waits for so
     * long at most, which is a small part of an objective of 150 ms.
     */
    static final long MAX_HANDOVER_MS = 10;

    private final Clock mClock;
    private final ArrayDeque<Runnable> mHandovers = new ArrayDeque<>();
    private boolean mScheduled;

    HandoverQueue(Clock clock) {
        mClock = clock;
    }

    /** Adds the handover of a request that was just read. */
    void add(EventLoop loop, Runnable handover) {
        mHandovers.add(handover);
        if (!mScheduled) {
            mScheduled = true;
            loop.execute(() -> run(loop));
        }
    }

    private void run(EventLoop loop) {
        long startMs = mClock.nowMs();
        try {
            do {
                mHandovers.remove().run();
            } while (!mHandovers.isEmpty() && mClock.nowMs() - startMs < MAX_HANDOVER_MS);
        } finally {
            mScheduled = !mHandovers.isEmpty();
            if (mScheduled) {
                // Due at once, but runs only after the event loop has polled the sockets again.
                var unused = loop.schedule(() -> run(loop), 0, TimeUnit.MILLISECONDS);
            }
        }
    }
}
