package org.hornbeampass.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Checks what counts as a turn of an event loop. */
@Timeout(60)
class TimedIoHandlerTest {
    private static final long WAIT_MS = 1_000;
    private static final long WORK_NS = 20_000_000;

    private final EventLoops mLoops = EventLoops.create(1, "timed");
    private final Queue<Long> mTurns = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() {
        mLoops.close();
    }

    private static void work() {
        long endNs = System.nanoTime() + WORK_NS;
        while (System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
    }

    /** Runs the tasks that are due later, so that the turns before them have been reported. */
    private void finishTurn(long delayMs) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(2);
        for (long dueMs = delayMs; dueMs <= delayMs + 1; dueMs++) {
            var unused = mLoops.group().schedule(done::countDown, dueMs, TimeUnit.MILLISECONDS);
        }
        done.await();
    }

    @Test
    void tasks_countAsWork() throws InterruptedException {
        mLoops.observeTurns(mTurns::add);
        mLoops.group().execute(TimedIoHandlerTest::work);
        finishTurn(2);
        assertThat(mTurns).anyMatch(ns -> ns >= WORK_NS);
    }

    /** Guards against an idle loop that is taken for a slow one. */
    @Test
    void waits_countInNoTurn() throws InterruptedException {
        mLoops.observeTurns(mTurns::add);
        finishTurn(WAIT_MS);
        assertThat(mTurns).isNotEmpty().allMatch(ns -> ns < TimeUnit.MILLISECONDS.toNanos(WAIT_MS));
    }

    /** Guards against an event loop that ends with all connections for an error in a listener. */
    @Test
    void errorOfAListener_leavesTheLoopRunning() throws InterruptedException {
        mLoops.observeTurns(
                ns -> {
                    mTurns.add(ns);
                    throw new IllegalStateException("an error of the test");
                });
        finishTurn(2);
        finishTurn(2);
        assertThat(mTurns).hasSizeGreaterThan(1);
    }
}
