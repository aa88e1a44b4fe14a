package org.hornbeampass.coordination.orders;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Runs asynchronous steps one after the other, in the order of submission.
 *
 * <p>Invariant: a step starts only after the step before it has called its completion callback.
 * Thread-safe; steps run with no lock held.
 */
final class SerialStepRunner {
    private final ArrayDeque<BiConsumer<Long, LongConsumer>> mWaiting = new ArrayDeque<>();
    private boolean mBusy;

    /**
     * Runs a step at once, or after all earlier steps have finished.
     *
     * @param step receives the time in milliseconds and a callback, which it must call once with
     *     the time when it has finished
     */
    void run(long nowMs, BiConsumer<Long, LongConsumer> step) {
        synchronized (mWaiting) {
            if (mBusy) {
                mWaiting.addLast(step);
                return;
            }
            mBusy = true;
        }
        step.accept(nowMs, this::onFinished);
    }

    private void onFinished(long nowMs) {
        Optional<BiConsumer<Long, LongConsumer>> next;
        synchronized (mWaiting) {
            next = Optional.ofNullable(mWaiting.pollFirst());
            mBusy = next.isPresent();
        }
        next.ifPresent(step -> step.accept(nowMs, this::onFinished));
    }
}
