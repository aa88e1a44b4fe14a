package org.hornbeampass.router.flow;

import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs the events of one request one at a time, in the order in which they were given.
 *
 * <p>The thread that gives an event while none is running runs it, and those that other threads add
 * meanwhile; an event that is given from within another runs after it. So what the events touch
 * needs no lock, and no lock is held while an event calls other parts. Thread-safe.
 */
final class SerialQueue {
    private final ManyToOneConcurrentLinkedQueue<Runnable> mEvents =
            new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();
    private final Consumer<RuntimeException> mExceptionHandler;

    /**
     * Makes an empty queue.
     *
     * @param exceptionHandler told of what an event throws; later events still run
     */
    SerialQueue(Consumer<RuntimeException> exceptionHandler) {
        mExceptionHandler = exceptionHandler;
    }

    /** Runs an event now, or leaves it to the thread that is running events at present. */
    void submit(Runnable event) {
        mEvents.add(event);
        if (mPending.getAndIncrement() != 0) {
            return;
        }
        int done = 1;
        do {
            for (int i = 0; i < done; i++) {
                runNext();
            }
            done = mPending.addAndGet(-done);
        } while (done != 0);
    }

    private void runNext() {
        Runnable event = mEvents.poll();
        while (event == null) {
            Thread.onSpinWait();
            event = mEvents.poll();
        }
        try {
            event.run();
        } catch (RuntimeException e) {
            mExceptionHandler.accept(e);
        }
    }
}
