package org.hornbeampass.coordination.orders;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Runs asynchronous steps one after the other.
 *
 * <p>Invariant: a step starts only after the one before it has said that it finished. Thread-safe;
 * steps run with no lock held.
 */
final class SerialStepRunner {
    private final ArrayDeque<BiConsumer<Long, LongConsumer>> mWaiting = new ArrayDeque<>();
    private boolean mBusy;

    /**
     * Runs a step now, or once those before it have finished.
     *
     * @param step takes the time in milliseconds and what it calls, with the time, when it finished
     */
    void run(long nowMs, BiConsumer<Long, LongConsumer> step) {
        synchronized (mWaiting) {
            if (mBusy) {
                mWaiting.addLast(step);
                return;
            }
            mBusy = true;
        }
        step.accept(nowMs, this::finished);
    }

    private void finished(long nowMs) {
        Optional<BiConsumer<Long, LongConsumer>> next;
        synchronized (mWaiting) {
            next = Optional.ofNullable(mWaiting.pollFirst());
            mBusy = next.isPresent();
        }
        next.ifPresent(step -> step.accept(nowMs, this::finished));
    }
}
