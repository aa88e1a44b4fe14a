package org.hornbeampass.experiment.demo;

import org.hornbeampass.experiment.caller.ChatCaller;
import org.hornbeampass.experiment.caller.ChatRequest;
import org.hornbeampass.experiment.fleet.Fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends the demo's requests at an even rate, whatever the answers take.
 *
 * <p>For use by one thread.
 */
final class DemoLoad {
    private static final int MAX_TOKENS = 400;
    private static final long PATIENCE_MS = 60_000;

    private final Fleet mFleet;
    private final ChatCaller mCaller;
    private final ScheduledExecutorService mTimer;
    private final long mGapNanos;

    DemoLoad(Fleet fleet, ChatCaller caller, ScheduledExecutorService timer, int rate) {
        mFleet = fleet;
        mCaller = caller;
        mTimer = timer;
        mGapNanos = TimeUnit.SECONDS.toNanos(1) / rate;
    }

    /** Sends all requests and returns what came back, once each has ended. */
    DemoTally run(List<DemoOrganisation> organisations, int requests, boolean crash) {
        DemoTally tally = new DemoTally();
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends.add(end);
            int number = i;
            long dueNanos = startNanos + i * mGapNanos;
            DemoOrganisation organisation = organisations.get(i % organisations.size());
            ScheduledFuture<?> unused =
                    mTimer.schedule(
                            () -> send(organisation, number, dueNanos, tally, end),
                            dueNanos - System.nanoTime(),
                            TimeUnit.NANOSECONDS);
        }
        if (crash) {
            Fleet.await("half of the requests ended", () -> ended(ends) > requests / 2);
            mFleet.replaceAfterCrash(0);
        }
        CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new))
                .orTimeout(PATIENCE_MS, TimeUnit.MILLISECONDS)
                .join();
        return tally;
    }

    private static long ended(List<CompletableFuture<Void>> ends) {
        return ends.stream().filter(CompletableFuture::isDone).count();
    }

    private void send(
            DemoOrganisation organisation,
            int number,
            long dueNanos,
            DemoTally tally,
            CompletableFuture<Void> end) {
        String name = organisation.name() + "-" + number;
        ChatRequest request =
                new ChatRequest(
                        organisation.key(),
                        name,
                        name,
                        mFleet.spec().model(),
                        organisation.answerTokens(),
                        MAX_TOKENS,
                        number % 4 != 0,
                        0);
        int routers = mFleet.routers().size();
        CompletableFuture<Void> unused =
                mCaller.send(
                                request,
                                tries -> mFleet.callersAddress((number + tries) % routers),
                                dueNanos)
                        .thenAccept(receipts -> tally.add(organisation.name(), receipts))
                        .whenComplete((done, problem) -> end.complete(null));
    }
}
