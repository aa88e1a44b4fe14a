package org.hornbeampass.experiment.routing;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AdmissionRequest;
import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptIdleMonitor;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.AttemptTimeouts;
import org.hornbeampass.coordination.limit.FailedAttempt;
import org.hornbeampass.coordination.limit.RetryDecision;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.upstream.LeavingEvidence;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Takes one request through admission, attempts and retries at its VM.
 *
 * <p>Not thread-safe.
 */
final class RequestRun {
    private static final double ERROR_MS = 5;
    private static final double CALLER_MS = 1;
    private static final int MAX_CALLS = 3;
    private static final long CALLER_RETRY_MS = 1_000;

    private final RoutingSimulation mSimulation;
    private final VirtualClock mClock;
    private final SimulatedVm mVm;
    private final SimulatedRequest mRequest;
    private final int mCall;
    private final long mStartedMs;
    private RoutingQuery mQuery;
    private int mAttempts;
    private boolean mSent;
    private boolean mDone;
    private Optional<Attempt> mCurrent = Optional.empty();

    /** One attempt at an upstream. */
    private final class Attempt implements SimulatedUpstream.Listener {
        private final UpstreamChoice mChoice;
        private final SimulatedUpstream mUpstream;
        private final double mBackMs;
        private final AttemptTimeouts mTimeouts;
        private final AttemptIdleMonitor mWatch;
        private int mDelivered;
        private boolean mEnded;

        private Attempt(UpstreamChoice choice, SimulatedUpstream upstream) {
            mChoice = choice;
            mUpstream = upstream;
            mBackMs = mSimulation.oneWayMs(mVm, upstream);
            long nowMs = mClock.nowMs();
            mTimeouts = mVm.chooser().timeouts(nowMs, choice, kind());
            mWatch = new AttemptIdleMonitor(nowMs, mTimeouts);
        }

        private void send() {
            mUpstream.sent(mVm.number(), mVm.probes(mUpstream));
            mSimulation.measurements().mAttempts++;
            mClock.after(mBackMs, this::arrive);
        }

        private void arrive() {
            if (mEnded) {
                return;
            }
            switch (mUpstream.fault()) {
                case DEAD -> endAfter(mBackMs, AttemptOutcome.CONNECT_FAILED);
                case UNREACHABLE ->
                        endAfter((double) mTimeouts.connectMs(), AttemptOutcome.CONNECT_FAILED);
                case ERRORS -> endAfter(ERROR_MS + mBackMs, AttemptOutcome.UPSTREAM_ERROR);
                case LEAVING -> endAfter(mBackMs, AttemptOutcome.REFUSED_LEAVING);
                default -> offer();
            }
        }

        private void offer() {
            mVm.chooser().onStarted(mClock.nowMs(), mChoice);
            var job = mRequest.attempt(mChoice.attempt() * Demand.VMS + mVm.number());
            if (!mUpstream.offer(job, this)) {
                endAfter(mBackMs, AttemptOutcome.REFUSED_OVERLOADED);
                return;
            }
            look();
        }

        private void look() {
            if (mEnded) {
                return;
            }
            long nowMs = mClock.nowMs();
            long nextMs = mWatch.nextCheckMs(nowMs, mVm.chooser().lastProgressMs(mChoice));
            if (nextMs <= nowMs) {
                cancel();
                end(AttemptOutcome.SILENT);
            } else if (nextMs < mRequest.deadline().atMs()) {
                mClock.at((double) nextMs, this::look);
            }
        }

        private void cancel() {
            var job = mRequest.attempt(mChoice.attempt() * Demand.VMS + mVm.number());
            mUpstream.cancel(job.attemptId());
        }

        @Override
        public void onToken(int offset) {
            mDelivered++;
            boolean first = mDelivered == 1;
            mClock.after(mBackMs, () -> part(first));
        }

        private void part(boolean first) {
            if (first) {
                firstToken();
            }
            long gapMs = mEnded ? -1 : mWatch.onPart(mClock.nowMs());
            if (gapMs >= 0) {
                mVm.chooser().onProgress(mClock.nowMs(), mChoice, gapMs);
            }
        }

        private void firstToken() {
            if (!mEnded) {
                mVm.chooser().onFirstToken(mClock.nowMs(), mChoice);
                double ms = mClock.exactMs() + CALLER_MS - mStartedMs;
                mSimulation.measurements().mFirstTokenMs.recordValue(Math.round(ms));
            }
        }

        @Override
        public void onFinished() {
            endAfter(mBackMs, AttemptOutcome.SUCCEEDED);
        }

        @Override
        public void onBroken() {
            endAfter(
                    mBackMs,
                    mDelivered > 0
                            ? AttemptOutcome.BROKEN_IN_ANSWER
                            : AttemptOutcome.BROKEN_BEFORE_ANSWER);
        }

        private void endAfter(double delayMs, AttemptOutcome outcome) {
            mClock.after(delayMs, () -> end(outcome));
        }

        private void end(AttemptOutcome outcome) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mVm.chooser().onEnded(mClock.nowMs(), mChoice, outcome);
            mSent |= outcome.mayHaveSent();
            if (outcome == AttemptOutcome.REFUSED_LEAVING) {
                mVm.table()
                        .onLeaving(
                                mClock.nowMs(),
                                mChoice.upstream(),
                                LeavingEvidence.UPSTREAM_REPORT,
                                mChoice.incarnation());
            }
            if (outcome == AttemptOutcome.SUCCEEDED) {
                finish(Optional.empty());
            } else {
                afterFailure(outcome, mDelivered);
            }
        }
    }

    RequestRun(RoutingSimulation simulation, SimulatedVm vm, SimulatedRequest request, int call) {
        mSimulation = simulation;
        mClock = simulation.clock();
        mVm = vm;
        mRequest = request;
        mCall = call;
        mStartedMs = mClock.nowMs();
        mQuery = request.query();
    }

    private AnswerKind kind() {
        return mRequest.repeatable() ? AnswerKind.STREAM : AnswerKind.NOT_REPEATABLE;
    }

    /** Asks to be admitted and goes on from there. */
    void start() {
        long cost = mRequest.job().prompt().tokens() + (long) mRequest.job().answer().end();
        AdmissionRequest admission =
                new AdmissionRequest(
                        mQuery.organisation(), mQuery.priority(), 1, cost, mRequest.deadline());
        mVm.queue(mQuery.target()).submit(mClock.nowMs(), admission, this::admitted);
        mClock.at((double) mRequest.deadline().atMs(), this::tooLate);
    }

    private void admitted(long nowMs, Optional<Failure> failure) {
        if (failure.isPresent()) {
            mDone = true;
            failed(failure.get());
            return;
        }
        mSimulation.measurements().mQueuedMs.recordValue(nowMs - mStartedMs);
        mVm.budget().onFirstAttempt();
        mSimulation.measurements().mFirstAttempts++;
        attempt();
    }

    private void attempt() {
        if (mDone) {
            return;
        }
        Either<Failure, UpstreamChoice> choice = mVm.chooser().choose(mClock.nowMs(), mQuery);
        if (choice.isLeft()) {
            finish(Optional.of(choice.getLeft()));
            return;
        }
        mAttempts++;
        Attempt next = new Attempt(choice.get(), mSimulation.upstream(choice.get().upstream()));
        mCurrent = Optional.of(next);
        next.send();
    }

    private void afterFailure(AttemptOutcome outcome, int delivered) {
        if (mDone) {
            return;
        }
        FailedAttempt failed =
                new FailedAttempt(
                        outcome,
                        mRequest.repeatable(),
                        mAttempts,
                        delivered,
                        false,
                        mRequest.deadline());
        RetryDecision decision = mVm.retries().decide(mClock.nowMs(), failed, mSent, mVm.budget());
        if (decision instanceof RetryDecision.RetryElsewhere retry) {
            mQuery = mQuery.excluding(mCurrent.orElseThrow().mChoice.upstream());
            mClock.after((double) retry.delayMs(), this::attempt);
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            finish(Optional.of(giveUp.failure()));
        } else {
            throw new IllegalStateException("streams of the simulation can't be resumed");
        }
    }

    private void tooLate() {
        if (mDone || mCurrent.isEmpty()) {
            return;
        }
        mCurrent.get().cancel();
        finish(Optional.of(Failure.of(ErrorKind.DEADLINE_EXCEEDED, "late")));
        mCurrent.get().end(AttemptOutcome.TIMED_OUT);
    }

    private void finish(Optional<Failure> failure) {
        if (mDone) {
            return;
        }
        mDone = true;
        mVm.queue(mQuery.target()).release(mClock.nowMs());
        if (failure.isPresent()) {
            failed(failure.get());
        } else {
            mSimulation.measurements().mServed++;
        }
    }

    private void failed(Failure failure) {
        boolean again =
                mSimulation.settings().retries().callersRetry()
                        && failure.kind().retryable()
                        && mRequest.repeatable()
                        && mCall < MAX_CALLS;
        if (!again) {
            mSimulation.measurements().failed(failure.kind());
            return;
        }
        OptionalLong after = failure.retryAfterMs();
        mClock.after(
                (double) after.orElse(CALLER_RETRY_MS),
                () -> new RequestRun(mSimulation, mVm, mRequest, mCall + 1).start());
    }
}
