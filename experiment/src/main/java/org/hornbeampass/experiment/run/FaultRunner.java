package org.hornbeampass.experiment.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs the steps of a timeline, each in a thread of its own when it is due.
 *
 * <p>Invariant: a step that fails is noted as such and stops no other. For use by one thread.
 */
final class FaultRunner implements AutoCloseable {
    private final FaultContext mContext;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<CompletableFuture<Void>> mSteps = new ArrayList<>();

    FaultRunner(FaultContext context) {
        mContext = context;
    }

    void start(List<FaultStep> timeline, long startNanos) {
        for (FaultStep step : timeline) {
            mSteps.add(CompletableFuture.runAsync(() -> run(step, startNanos), mThreads));
        }
    }

    private void run(FaultStep step, long startNanos) {
        long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(step.atMs());
        FaultContext.sleep(TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime()));
        mContext.event(step.describe() + " begins");
        try {
            step.kind().run(mContext, step);
            mContext.event(step.describe() + " has ended");
        } catch (RuntimeException e) {
            mContext.event(step.describe() + " FAILED: " + e.getMessage());
        }
    }

    /** Waits until each step has ended. */
    void await(long atMostMs) {
        CompletableFuture.allOf(mSteps.toArray(CompletableFuture<?>[]::new))
                .orTimeout(atMostMs, TimeUnit.MILLISECONDS)
                .join();
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
    }
}
