package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RunState;
import org.hornbeampass.state.UpstreamId;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Simulates one non-repeatable call sent through two routers while replies to claims and answers of
 * upstreams are lost.
 *
 * <p>Both routers claim the call in one shared log: the first claim that takes effect wins, the
 * reply may be lost after the claim took effect, and later claims receive the outcome if it was
 * recorded. The seed determines which pending event happens next. Not thread-safe.
 */
final class ServiceFlowSimulation {
    private static final long DEADLINE_MS = 1_000;
    private static final UpstreamAnswer ANSWER =
            new UpstreamAnswer(201, "application/json", new byte[] {'1'});

    private final SplittableRandom mRandom;
    private final boolean mRetryAfterSending;
    private final List<Runnable> mPending = new ArrayList<>();
    private final List<SimulatedRouter> mRouters = new ArrayList<>();
    private int mRuns;
    private SimulatedRouter mHolder;
    private boolean mRecorded;
    private long mNowMs;

    /** One of the routers, with its flow of the call. */
    private final class SimulatedRouter implements UpstreamPort {
        private final FakePorts mPorts = new FakePorts();
        private final ServiceFlow mFlow =
                new ServiceFlow(
                        new ServicePlan(mRetryAfterSending, DEADLINE_MS),
                        new FlowPorts(mPorts, mPorts, mPorts, this, mPorts, mPorts, mPorts),
                        mPorts);
        private boolean mRan;

        @Override
        public Either<Failure, Attempt> start(
                long nowMs, int number, RelayProgress relayed, AttemptListener listener) {
            if (mRandom.nextInt(8) == 0) {
                return Either.left(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
            }
            mPending.add(() -> deliverCall(number, listener));
            return Either.right(new UncancellableAttempt());
        }

        /**
         * Delivers the call to the upstream: either no byte arrives, or the upstream runs the call
         * and its answer is received or lost.
         */
        private void deliverCall(int number, AttemptListener listener) {
            if (mRandom.nextInt(4) == 0) {
                fault(listener, number, AttemptOutcome.CONNECT_FAILED);
                return;
            }
            mRuns++;
            mRan = true;
            if (mRandom.nextBoolean()) {
                mPending.add(() -> listener.onFullAnswer(mNowMs, number, ANSWER));
            } else {
                mPending.add(() -> fault(listener, number, AttemptOutcome.BROKEN_BEFORE_ANSWER));
            }
        }

        private void fault(AttemptListener listener, int number, AttemptOutcome outcome) {
            listener.onFault(mNowMs, number, new AttemptFault(outcome, "at random"));
        }

        @Override
        public Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed) {
            return new Retry.Again(0);
        }

        private void collectReplies() {
            if (mPorts.mAdmissionReply != null) {
                var admitted = mPorts.mAdmissionReply;
                mPorts.mAdmissionReply = null;
                mPending.add(() -> admitted.accept(mNowMs, java.util.Optional.empty()));
            }
            if (mPorts.mClaimReply != null) {
                var claimed = mPorts.mClaimReply;
                mPorts.mClaimReply = null;
                mPending.add(() -> decideClaim(claimed));
            }
            if (mPorts.mRecordReply != null) {
                var recorded = mPorts.mRecordReply;
                mPorts.mRecordReply = null;
                mRecorded = true;
                mPending.add(() -> recorded.accept(mNowMs));
            }
            if (mPorts.mBillReply != null) {
                var billed = mPorts.mBillReply;
                mPorts.mBillReply = null;
                mPending.add(
                        () ->
                                billed.accept(
                                        mNowMs,
                                        Charge.ofFullBill(BillResult.FIRST, BillAmount.NOTHING)));
            }
            if (mHolder == this && mPorts.mLog.contains("release")) {
                mHolder = null;
            }
        }

        /** Decides on the claim as the shared log does; the reply may be lost. */
        private void decideClaim(java.util.function.BiConsumer<Long, ClaimResult> claimed) {
            boolean own = mHolder == null || mHolder == this;
            if (own) {
                mHolder = this;
            }
            if (mRandom.nextInt(4) == 0) {
                claimed.accept(mNowMs, refused(ErrorKind.PLATFORM_UNAVAILABLE));
            } else if (own) {
                claimed.accept(mNowMs, new ClaimResult.Granted());
            } else if (mRecorded) {
                claimed.accept(mNowMs, new ClaimResult.Recorded(ANSWER));
            } else {
                claimed.accept(mNowMs, refused(ErrorKind.ALREADY_RUNNING));
            }
        }
    }

    /** An attempt that ignores cancellation. */
    private static final class UncancellableAttempt implements Attempt {
        @Override
        public UpstreamId upstream() {
            return new UpstreamId("u");
        }

        @Override
        public void cancel(long nowMs) {}

        @Override
        public void pause() {}

        @Override
        public void resume() {}
    }

    /**
     * Creates the simulation.
     *
     * @param retryAfterSending whether the flows wrongly treat the call as repeatable
     */
    ServiceFlowSimulation(long seed, boolean retryAfterSending) {
        mRandom = new SplittableRandom(seed);
        mRetryAfterSending = retryAfterSending;
        mRouters.add(new SimulatedRouter());
        mRouters.add(new SimulatedRouter());
    }

    private static ClaimResult refused(ErrorKind kind) {
        return new ClaimResult.Refused(Failure.of(kind, "at random"));
    }

    /** Runs the simulation to its end and returns the violated invariants, empty if all hold. */
    List<String> run() {
        mRouters.forEach(r -> mPending.add(() -> r.mFlow.start(mNowMs)));
        mPending.add(this::advanceTimeAtRandom);
        if (mRandom.nextInt(3) == 0) {
            mPending.add(() -> mRouters.get(0).mFlow.onCallerGone(mNowMs));
        }
        for (int step = 0; step < 200 && !mPending.isEmpty(); step++) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
            mRouters.forEach(SimulatedRouter::collectReplies);
        }
        return findings();
    }

    private void advanceTimeAtRandom() {
        if (mRandom.nextInt(3) == 0) {
            mNowMs = DEADLINE_MS;
            mRouters.forEach(r -> r.mPorts.runTimers(mNowMs));
        }
    }

    private List<String> findings() {
        List<String> findings = new ArrayList<>();
        if (mRuns > 1) {
            findings.add("it ran " + mRuns + " times");
        }
        for (SimulatedRouter router : mRouters) {
            FakePorts ports = router.mPorts;
            if (ports.mEnds != 1) {
                findings.add("it ended " + ports.mEnds + " times");
            }
            boolean notRun =
                    ports.errorKind().filter(k -> k.runState() == RunState.NOT_RUN).isPresent();
            if (notRun && router.mRan) {
                findings.add("reported as \"not run\" although it ran");
            }
        }
        return findings;
    }
}
