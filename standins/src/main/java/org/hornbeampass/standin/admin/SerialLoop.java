package org.hornbeampass.standin.admin;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.transport.Clock;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * One thread that runs a stand-in's actions one after the other, now or at a time.
 *
 * <p>State that only its actions touch needs no lock. After {@link #close} further actions are
 * dropped. Thread-safe.
 */
public final class SerialLoop implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SerialLoop.class);

    private final Clock mClock;
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Starts a loop. */
    public SerialLoop(Clock clock, String name) {
        mClock = clock;
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Runs an action soon, with the time at which it runs. */
    public void run(LongConsumer action) {
        schedule(0, action);
    }

    /** Runs an action at a time in milliseconds, or soon where that is past. */
    public void at(long atMs, LongConsumer action) {
        schedule(Math.max(0, atMs - mClock.nowMs()), action);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private void schedule(long delayMs, LongConsumer action) {
        try {
            var unused =
                    mExecutor.schedule(() -> runSafely(action), delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("an action came after the close", e);
        }
    }

    private void runSafely(LongConsumer action) {
        try {
            action.accept(mClock.nowMs());
        } catch (RuntimeException e) {
            LOG.error("an action failed", e);
        }
    }
}
