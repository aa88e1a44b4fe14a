package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * State machine of one call to a plain service.
 *
 * <p>A non-repeatable call is claimed durably before its first byte is sent, and is retried only
 * while no byte may have been sent to an upstream. Only in that case does it fail with the run
 * state "not run"; once a byte may have been sent and no answer was received, its outcome is
 * unknown. Its answer is recorded before it is sent to the caller. A repeatable call is retried as
 * the retry policy decides.
 *
 * <p>The flow has no clock and no thread of its own: all methods take the present time in
 * milliseconds. Thread-safe: events run one at a time through a {@link SerialQueue}.
 */
public final class ServiceFlow implements AttemptListener {
    /** The states in the order in which a call passes through them; states may be skipped. */
    private enum State {
        NEW,
        QUEUED,
        CLAIMING,
        TRYING,
        RECORDING,
        BILLING,
        ENDED
    }

    private final ServicePlan mPlan;
    private final FlowPorts mPorts;
    private final ClaimPort mClaims;
    private final SerialQueue mEvents;

    private State mState = State.NEW;
    private boolean mQueued;
    private boolean mClaimed;
    private boolean mMayHaveRun;
    private int mAttemptNumber;
    private Optional<Attempt> mLiveAttempt = Optional.empty();
    private Runnable mCancelDeadline = () -> {};
    private Runnable mCancelRetryTimer = () -> {};
    private Optional<UpstreamAnswer> mAnswer = Optional.empty();
    private Optional<Failure> mFailure = Optional.empty();

    /** Creates the flow of one call; {@link #start} is called once on it. */
    public ServiceFlow(ServicePlan plan, FlowPorts ports, ClaimPort claims) {
        mPlan = plan;
        mPorts = ports;
        mClaims = claims;
        mEvents = new SerialQueue(ports.observer()::onInternalFault);
    }

    /** Starts the call. */
    public void start(long nowMs) {
        mEvents.submit(() -> handleStart(nowMs));
    }

    /**
     * Handles the caller's disconnection: a non-repeatable call that was sent continues, so that
     * its outcome becomes known; any other call is cancelled.
     */
    public void onCallerGone(long nowMs) {
        mEvents.submit(() -> handleCallerGone(nowMs));
    }

    @Override
    public void onChunk(long nowMs, int number, ChatChunk chunk) {
        throw new IllegalStateException("a plain service must not send chunks");
    }

    @Override
    public void onStreamDone(long nowMs, int number) {
        throw new IllegalStateException("a plain service must not send a closing event");
    }

    @Override
    public void onFullAnswer(long nowMs, int number, UpstreamAnswer answer) {
        mEvents.submit(() -> ifLive(number, () -> handleFullAnswer(nowMs, answer)));
    }

    @Override
    public void onRejected(long nowMs, int number, UpstreamAnswer answer) {
        onFullAnswer(nowMs, number, answer);
    }

    @Override
    public void onFault(long nowMs, int number, AttemptFault fault) {
        mEvents.submit(() -> ifLive(number, () -> handleFault(nowMs, fault)));
    }

    private void ifLive(int number, Runnable event) {
        if (mState == State.TRYING && number == mAttemptNumber && mLiveAttempt.isPresent()) {
            event.run();
        }
    }

    private void handleStart(long nowMs) {
        if (mState != State.NEW) {
            return; // The caller disconnected before the call started.
        }
        if (nowMs >= mPlan.deadlineMs()) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, deadlineMessage()));
            return;
        }
        Optional<Failure> refusal = mPorts.bills().refusal(nowMs);
        if (refusal.isPresent()) {
            fail(nowMs, refusal.get());
            return;
        }
        mCancelDeadline =
                mPorts.timers()
                        .schedule(
                                nowMs,
                                mPlan.deadlineMs(),
                                t -> mEvents.submit(() -> handleDeadline(t)));
        mState = State.QUEUED;
        mQueued = true;
        mPorts.admission()
                .enter(nowMs, (t, shed) -> mEvents.submit(() -> handleAdmissionReply(t, shed)));
    }

    private void handleAdmissionReply(long nowMs, Optional<Failure> shed) {
        if (mState != State.QUEUED) {
            return;
        }
        if (shed.isPresent()) {
            fail(nowMs, shed.get());
            return;
        }
        if (mPlan.repeatable()) {
            mState = State.TRYING;
            startNextAttempt(nowMs);
            return;
        }
        mState = State.CLAIMING;
        mClaims.claim(nowMs, (t, claim) -> mEvents.submit(() -> handleClaimReply(t, claim)));
    }

    private void handleClaimReply(long nowMs, ClaimResult claim) {
        if (mState != State.CLAIMING) {
            if (claim instanceof ClaimResult.Granted) {
                mClaims.release(nowMs);
            }
            return;
        }
        if (claim instanceof ClaimResult.Refused refused) {
            fail(nowMs, refused.failure());
            return;
        }
        if (claim instanceof ClaimResult.Recorded recorded) {
            mAnswer = Optional.of(recorded.answer());
            end(nowMs, Optional.empty());
            return;
        }
        mClaimed = true;
        mState = State.TRYING;
        startNextAttempt(nowMs);
    }

    private void startNextAttempt(long nowMs) {
        mAttemptNumber++;
        Either<Failure, Attempt> started =
                mPorts.upstreams().start(nowMs, mAttemptNumber, RelayProgress.NOTHING, this);
        if (started.isLeft()) {
            giveUp(nowMs, started.getLeft());
            return;
        }
        mLiveAttempt = Optional.of(started.get());
    }

    private void handleFullAnswer(long nowMs, UpstreamAnswer answer) {
        mLiveAttempt = Optional.empty();
        mMayHaveRun = true;
        mAnswer = Optional.of(answer);
        if (!mClaimed) {
            bill(nowMs);
            return;
        }
        mState = State.RECORDING;
        mClaims.record(nowMs, answer, t -> mEvents.submit(() -> handleRecordReply(t)));
    }

    private void handleRecordReply(long nowMs) {
        if (mState == State.RECORDING) {
            bill(nowMs);
        }
    }

    /** Submits a bill without tokens: calls to plain services are counted, but use no tokens. */
    private void bill(long nowMs) {
        mState = State.BILLING;
        leaveQueue(nowMs);
        mPorts.bills()
                .bill(
                        nowMs,
                        BillAmount.NOTHING,
                        (t, charge) -> mEvents.submit(() -> handleBillReply(t, charge)));
    }

    private void handleBillReply(long nowMs, Charge charge) {
        if (mState == State.BILLING) {
            end(nowMs, Optional.of(charge));
        }
    }

    private void handleFault(long nowMs, AttemptFault fault) {
        mLiveAttempt = Optional.empty();
        mMayHaveRun |= fault.outcome().mayHaveSent();
        if (!mPlan.repeatable() && mMayHaveRun) {
            giveUp(nowMs, Failure.of(ErrorKind.OUTCOME_UNKNOWN, outcomeUnknownMessage()));
            return;
        }
        Retry retry = mPorts.upstreams().decideRetry(nowMs, fault, RelayProgress.NOTHING);
        if (retry instanceof Retry.Again again && nowMs + again.afterMs() < mPlan.deadlineMs()) {
            retryAfter(nowMs, again.afterMs());
            return;
        }
        giveUp(
                nowMs,
                Failure.of(ErrorKind.NO_UPSTREAM, "no upstream could be reached; retry the call"));
    }

    private void retryAfter(long nowMs, long afterMs) {
        if (afterMs <= 0) {
            startNextAttempt(nowMs);
            return;
        }
        mCancelRetryTimer =
                mPorts.timers()
                        .schedule(
                                nowMs,
                                nowMs + afterMs,
                                t -> mEvents.submit(() -> handleRetryTimer(t)));
    }

    private void handleRetryTimer(long nowMs) {
        if (mState == State.TRYING && mLiveAttempt.isEmpty()) {
            startNextAttempt(nowMs);
        }
    }

    private void giveUp(long nowMs, Failure notRunFailure) {
        if (!mMayHaveRun) {
            fail(nowMs, notRunFailure);
        } else if (mPlan.repeatable()) {
            fail(
                    nowMs,
                    Failure.of(
                            ErrorKind.UPSTREAM_FAILED,
                            "all attempted upstreams failed; retry the call"));
        } else {
            fail(nowMs, Failure.of(ErrorKind.OUTCOME_UNKNOWN, outcomeUnknownMessage()));
        }
    }

    private void handleDeadline(long nowMs) {
        if (mState.compareTo(State.RECORDING) >= 0) {
            return;
        }
        cancelLiveAttempt(nowMs);
        if (!mMayHaveRun) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, deadlineMessage()));
        } else if (mPlan.repeatable()) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, deadlineMessage()));
        } else {
            fail(nowMs, Failure.of(ErrorKind.OUTCOME_UNKNOWN, outcomeUnknownMessage()));
        }
    }

    private void handleCallerGone(long nowMs) {
        boolean mustComplete = !mPlan.repeatable() && mLiveAttempt.isPresent();
        if (mustComplete || mState.compareTo(State.RECORDING) >= 0) {
            return;
        }
        cancelLiveAttempt(nowMs);
        fail(nowMs, Failure.of(ErrorKind.STREAM_BROKEN, "the caller closed its connection"));
    }

    private void cancelLiveAttempt(long nowMs) {
        if (mLiveAttempt.isPresent()) {
            mMayHaveRun = true;
            mLiveAttempt.get().cancel(nowMs);
            mLiveAttempt = Optional.empty();
        }
    }

    private void fail(long nowMs, Failure failure) {
        mFailure = Optional.of(failure);
        end(nowMs, Optional.empty());
    }

    private void end(long nowMs, Optional<Charge> charge) {
        mState = State.ENDED;
        mCancelDeadline.run();
        mCancelRetryTimer.run();
        if (mClaimed && !mMayHaveRun) {
            mClaims.release(nowMs);
        }
        leaveQueue(nowMs);
        if (mFailure.isPresent()) {
            mPorts.caller().fail(mFailure.get());
        } else if (mAnswer.isPresent()) {
            UpstreamAnswer answer = mAnswer.get();
            mPorts.observer().onFirstPart(nowMs);
            mPorts.caller().respond(answer.status(), answer.contentType(), answer.body());
        }
        mPorts.observer().onEnd(nowMs, mFailure.map(Failure::kind), BillAmount.NOTHING, charge);
    }

    /**
     * Leaves the admission queue as soon as the upstream's work is over, so that waiting for the
     * bill does not occupy a place.
     */
    private void leaveQueue(long nowMs) {
        if (mQueued) {
            mQueued = false;
            mPorts.admission().leave(nowMs);
        }
    }

    private static String deadlineMessage() {
        return "the deadline has passed; retry the call or use a longer deadline";
    }

    private static String outcomeUnknownMessage() {
        return "the call was sent but no answer was received; it may have run and is not retried:"
                + " check the service's own records before sending it with a new key";
    }
}
