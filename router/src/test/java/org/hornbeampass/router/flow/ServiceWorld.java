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
 * One call that may not be repeated, sent by two routers among which claims and answers are lost.
 *
 * <p>The claims follow one shared log: the first claim that takes effect wins, a reply may be lost
 * after the claim took effect, and an outcome that was recorded is given to whoever claims later.
 * What happens next is drawn by the seed. Not thread-safe.
 */
final class ServiceWorld {
    private static final long DEADLINE_MS = 1_000;
    private static final UpstreamAnswer ANSWER =
            new UpstreamAnswer(201, "application/json", new byte[] {'1'});

    private final SplittableRandom mRandom;
    private final boolean mRetryAfterSending;
    private final List<Runnable> mPending = new ArrayList<>();
    private final List<Router> mRouters = new ArrayList<>();
    private int mRuns;
    private Router mHolder;
    private boolean mRecorded;
    private long mNowMs;

    /** One router's side of the call. */
    private final class Router implements UpstreamPort {
        private final FakePorts mFake = new FakePorts();
        private final ServiceFlow mFlow =
                new ServiceFlow(
                        new ServicePlan(mRetryAfterSending, DEADLINE_MS),
                        new FlowPorts(mFake, mFake, mFake, this, mFake, mFake, mFake),
                        mFake);
        private boolean mRan;

        @Override
        public Either<Failure, Attempt> start(
                long nowMs, int number, Relayed relayed, AttemptListener listener) {
            if (mRandom.nextInt(8) == 0) {
                return Either.left(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
            }
            mPending.add(() -> arrive(number, listener));
            return Either.right(new SilentAttempt());
        }

        /** The upstream runs the call, and its answer comes or is lost; or no byte arrives. */
        private void arrive(int number, AttemptListener listener) {
            if (mRandom.nextInt(4) == 0) {
                fault(listener, number, AttemptOutcome.CONNECT_FAILED);
                return;
            }
            mRuns++;
            mRan = true;
            if (mRandom.nextBoolean()) {
                mPending.add(() -> listener.onWhole(mNowMs, number, ANSWER));
            } else {
                mPending.add(() -> fault(listener, number, AttemptOutcome.BROKEN_BEFORE_ANSWER));
            }
        }

        private void fault(AttemptListener listener, int number, AttemptOutcome outcome) {
            listener.onFault(mNowMs, number, new AttemptFault(outcome, "at random"));
        }

        @Override
        public Retry afterFault(long nowMs, AttemptFault fault, Relayed relayed) {
            return new Retry.Again(0);
        }

        private void collect() {
            if (mFake.mAdmitted != null) {
                var admitted = mFake.mAdmitted;
                mFake.mAdmitted = null;
                mPending.add(() -> admitted.accept(mNowMs, java.util.Optional.empty()));
            }
            if (mFake.mClaimed != null) {
                var claimed = mFake.mClaimed;
                mFake.mClaimed = null;
                mPending.add(() -> decide(claimed));
            }
            if (mFake.mRecorded != null) {
                var recorded = mFake.mRecorded;
                mFake.mRecorded = null;
                mRecorded = true;
                mPending.add(() -> recorded.accept(mNowMs));
            }
            if (mFake.mBilled != null) {
                var billed = mFake.mBilled;
                mFake.mBilled = null;
                mPending.add(
                        () -> billed.accept(mNowMs, Charge.whole(BillResult.FIRST, Bill.NOTHING)));
            }
            if (mHolder == this && mFake.mLog.contains("release")) {
                mHolder = null;
            }
        }

        /** The log decides on the claim; its reply may be lost. */
        private void decide(java.util.function.BiConsumer<Long, Claim> claimed) {
            boolean own = mHolder == null || mHolder == this;
            if (own) {
                mHolder = this;
            }
            if (mRandom.nextInt(4) == 0) {
                claimed.accept(mNowMs, refused(ErrorKind.PLATFORM_UNAVAILABLE));
            } else if (own) {
                claimed.accept(mNowMs, new Claim.Own());
            } else if (mRecorded) {
                claimed.accept(mNowMs, new Claim.Recorded(ANSWER));
            } else {
                claimed.accept(mNowMs, refused(ErrorKind.ALREADY_RUNNING));
            }
        }
    }

    /** An attempt that can't be stopped. */
    private static final class SilentAttempt implements Attempt {
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
     * Makes the world.
     *
     * @param retryAfterSending whether the call is wrongly treated as one that may be repeated
     */
    ServiceWorld(long seed, boolean retryAfterSending) {
        mRandom = new SplittableRandom(seed);
        mRetryAfterSending = retryAfterSending;
        mRouters.add(new Router());
        mRouters.add(new Router());
    }

    private static Claim refused(ErrorKind kind) {
        return new Claim.Refused(Failure.of(kind, "at random"));
    }

    /** Runs to the end and returns what is wrong, nothing where all invariants hold. */
    List<String> run() {
        mRouters.forEach(r -> mPending.add(() -> r.mFlow.start(mNowMs)));
        mPending.add(this::timePasses);
        if (mRandom.nextInt(3) == 0) {
            mPending.add(() -> mRouters.get(0).mFlow.onCallerGone(mNowMs));
        }
        for (int step = 0; step < 200 && !mPending.isEmpty(); step++) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
            mRouters.forEach(Router::collect);
        }
        return findings();
    }

    private void timePasses() {
        if (mRandom.nextInt(3) == 0) {
            mNowMs = DEADLINE_MS;
            mRouters.forEach(r -> r.mFake.runTimers(mNowMs));
        }
    }

    private List<String> findings() {
        List<String> findings = new ArrayList<>();
        if (mRuns > 1) {
            findings.add("it ran " + mRuns + " times");
        }
        for (Router router : mRouters) {
            FakePorts fake = router.mFake;
            if (fake.mEnds != 1) {
                findings.add("it ended " + fake.mEnds + " times");
            }
            boolean notRun =
                    fake.errorKind().filter(k -> k.runState() == RunState.NOT_RUN).isPresent();
            if (notRun && router.mRan) {
                findings.add("\"not run\" though it ran");
            }
        }
        return findings;
    }
}
