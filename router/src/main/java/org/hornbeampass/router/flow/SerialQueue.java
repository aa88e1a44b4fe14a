package org.hornbeampass.router.flow;

import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs the events of one request one at a time, in the order in which they were submitted.
 *
 * <p>A thread that submits an event while no event is running runs it, and then also runs the
 * events that other threads submit in the meantime. An event submitted by a running event runs
 * after it. State that only events access therefore needs no lock, and no lock is held while an
 * event calls other code. Thread-safe.
 */
final class SerialQueue {
    private final ManyToOneConcurrentLinkedQueue<Runnable> mEvents =
            new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();
    private final Consumer<RuntimeException> mExceptionHandler;

    /**
     * Creates an empty queue.
     *
     * @param exceptionHandler receives the exceptions that events throw; later events still run
     */
    SerialQueue(Consumer<RuntimeException> exceptionHandler) {
        mExceptionHandler = exceptionHandler;
    }

    /** Runs an event now, or leaves it to the thread that is currently running events. */
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
