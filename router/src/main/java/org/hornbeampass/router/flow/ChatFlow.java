package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.ChatChunkReader;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * State machine of one chat completion.
 *
 * <p>Invariants: at most one attempt is live, and the events of all other attempts are ignored;
 * chunks are sent to the caller in the order in which the live attempt delivered them; a successful
 * reservation is settled or cancelled exactly once; at most one bill is submitted; the last part of
 * an answer is sent after its bill; an error whose run state is "not run" is sent only if no
 * attempt may have sent a byte to an upstream.
 *
 * <p>The flow has no clock and no thread of its own: all methods take the present time in
 * milliseconds. Thread-safe: events run one at a time through a {@link SerialQueue}.
 */
public final class ChatFlow implements AttemptListener {
    /** The states in the order in which a request passes through them; states may be skipped. */
    private enum State {
        NEW,
        QUEUED,
        RESERVING,
        TRYING,
        BILLING,
        ENDED
    }

    private final ChatPlan mPlan;
    private final FlowPorts mPorts;
    private final ChunkRewriter mRewriter;
    private final SerialQueue mEvents;

    private State mState = State.NEW;
    private boolean mReserved;
    private boolean mQueued;
    private boolean mStreaming;
    private boolean mMayHaveRun;
    private int mAttemptNumber;
    private Optional<Attempt> mLiveAttempt = Optional.empty();
    private UsageMeter mMeter;
    private RelayProgress mRelayProgress = RelayProgress.NOTHING;
    private boolean mFinishSeen;
    private Runnable mCancelDeadline = () -> {};
    private Runnable mCancelRetryTimer = () -> {};
    private Optional<UpstreamAnswer> mFullAnswer = Optional.empty();
    private Optional<Failure> mFailure = Optional.empty();

    /** Creates the flow of one request; {@link #start} is called once on it. */
    public ChatFlow(ChatPlan plan, FlowPorts ports) {
        mPlan = plan;
        mPorts = ports;
        mRewriter = new ChunkRewriter(plan);
        mMeter = newMeter();
        mEvents = new SerialQueue(this::reportInternalFault);
    }

    /** Starts the request. */
    public void start(long nowMs) {
        mEvents.submit(() -> handleStart(nowMs));
    }

    /**
     * Handles the caller's disconnection: cancels the live attempt and bills the tokens that were
     * generated for a streamed answer.
     */
    public void onCallerGone(long nowMs) {
        mEvents.submit(() -> handleCallerGone(nowMs));
    }

    /** Continues reading from the upstream once a slow caller can receive data again. */
    public void onCallerWritable() {
        mEvents.submit(() -> mLiveAttempt.ifPresent(Attempt::resume));
    }

    @Override
    public void onChunk(long nowMs, int number, ChatChunk chunk) {
        mEvents.submit(() -> ifLive(number, () -> handleChunk(nowMs, chunk)));
    }

    @Override
    public void onStreamDone(long nowMs, int number) {
        mEvents.submit(() -> ifLive(number, () -> finish(nowMs)));
    }

    @Override
    public void onFullAnswer(long nowMs, int number, UpstreamAnswer answer) {
        mEvents.submit(() -> ifLive(number, () -> handleFullAnswer(nowMs, answer)));
    }

    @Override
    public void onRejected(long nowMs, int number, UpstreamAnswer answer) {
        mEvents.submit(() -> ifLive(number, () -> handleRejection(nowMs, answer)));
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
            return; // The caller disconnected before the request started.
        }
        if (nowMs >= mPlan.deadlineMs()) {
            failWithoutBill(
                    nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, deadlineMessage()));
            return;
        }
        Optional<Failure> refusal = mPorts.bills().refusal(nowMs);
        if (refusal.isPresent()) {
            failWithoutBill(nowMs, refusal.get());
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
            failWithoutBill(nowMs, shed.get());
            return;
        }
        mState = State.RESERVING;
        mPorts.budget()
                .reserve(
                        nowMs,
                        mPlan.worstCaseTokens(),
                        (t, refused) -> mEvents.submit(() -> handleReservationReply(t, refused)));
    }

    private void handleReservationReply(long nowMs, Optional<Failure> refused) {
        if (mState != State.RESERVING) {
            if (refused.isEmpty()) {
                mPorts.budget().cancel(nowMs);
            }
            return;
        }
        if (refused.isPresent()) {
            failWithoutBill(nowMs, refused.get());
            return;
        }
        mReserved = true;
        mState = State.TRYING;
        startNextAttempt(nowMs);
    }

    private void startNextAttempt(long nowMs) {
        mAttemptNumber++;
        if (mRelayProgress.isNothing()) {
            mMeter = newMeter();
        }
        Either<Failure, Attempt> started =
                mPorts.upstreams().start(nowMs, mAttemptNumber, mRelayProgress, this);
        if (started.isLeft()) {
            giveUp(nowMs, started.getLeft());
            return;
        }
        mLiveAttempt = Optional.of(started.get());
    }

    private void handleChunk(long nowMs, ChatChunk chunk) {
        if (chunk.offset().isPresent() && chunk.offset().getAsLong() != mMeter.completionTokens()) {
            cancelLiveAttempt(nowMs);
            handleFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.BROKEN_IN_ANSWER,
                            "the upstream continued at token "
                                    + chunk.offset().getAsLong()
                                    + " instead of token "
                                    + mMeter.completionTokens()));
            return;
        }
        if (chunk.hasDelta() && mMeter.isAtLimit()) {
            truncateAtLimit(nowMs);
            return;
        }
        mMeter.count(chunk);
        mFinishSeen |= chunk.finishReason().isPresent();
        if (chunk.hasDelta()) {
            mRelayProgress =
                    new RelayProgress(mRelayProgress.parts() + 1, mMeter.completionTokens());
        }
        if (!chunk.hasChoices() && chunk.usage().isPresent()) {
            return; // The router sends its own usage chunk, which equals the bill.
        }
        sendToCaller(nowMs, mRewriter.rewrite(chunk));
    }

    private void sendToCaller(long nowMs, byte[] data) {
        if (!mStreaming) {
            mStreaming = true;
            mPorts.caller().startStream();
            mPorts.observer().onFirstPart(nowMs);
        } else {
            mPorts.observer().onPart(nowMs);
        }
        if (!mPorts.caller().sendEvent(data)) {
            mLiveAttempt.ifPresent(Attempt::pause);
        }
    }

    private void truncateAtLimit(long nowMs) {
        cancelLiveAttempt(nowMs);
        sendToCaller(nowMs, mRewriter.lengthLimitChunk(nowMs));
        finish(nowMs);
    }

    private void handleFullAnswer(long nowMs, UpstreamAnswer answer) {
        Optional<ChatChunk> read = ChatChunkReader.read(answer.body());
        if (read.isEmpty() || !read.get().hasChoices()) {
            handleFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.UPSTREAM_ERROR, "the answer is not a chat completion"));
            return;
        }
        mMeter.count(read.get());
        mFullAnswer =
                Optional.of(
                        new UpstreamAnswer(
                                answer.status(),
                                answer.contentType(),
                                mRewriter.rewrite(read.get())));
        finish(nowMs);
    }

    private void handleRejection(long nowMs, UpstreamAnswer answer) {
        if (mStreaming) {
            handleFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.UPSTREAM_ERROR,
                            "the upstream rejected the resumed request"));
            return;
        }
        mLiveAttempt = Optional.empty();
        mFullAnswer = Optional.of(answer);
        end(nowMs, BillAmount.NOTHING, Optional.empty());
    }

    /** Bills a complete answer; the last part is sent to the caller after the bill. */
    private void finish(long nowMs) {
        mLiveAttempt = Optional.empty();
        bill(nowMs);
    }

    private void bill(long nowMs) {
        mState = State.BILLING;
        leaveQueue(nowMs);
        BillAmount bill = mMeter.bill();
        mPorts.bills()
                .bill(
                        nowMs,
                        bill,
                        (t, charge) -> mEvents.submit(() -> handleBillReply(t, bill, charge)));
    }

    private void handleBillReply(long nowMs, BillAmount bill, Charge charge) {
        if (mState != State.BILLING) {
            return;
        }
        mReserved = false;
        if (charge.result() == BillResult.DUPLICATE) {
            mPorts.budget().cancel(nowMs);
        } else {
            mPorts.budget().settle(nowMs, charge.tokens());
        }
        end(nowMs, bill, Optional.of(charge));
    }

    private void handleFault(long nowMs, AttemptFault fault) {
        if (mFinishSeen) {
            finish(nowMs); // Only the closing event is missing; the answer itself is complete.
            return;
        }
        mLiveAttempt = Optional.empty();
        mMayHaveRun |= fault.outcome().mayHaveSent();
        Retry retry = mPorts.upstreams().decideRetry(nowMs, fault, mRelayProgress);
        if (retry instanceof Retry.Again again && nowMs + again.afterMs() < mPlan.deadlineMs()) {
            retryAfter(nowMs, again.afterMs());
            return;
        }
        giveUp(
                nowMs,
                Failure.of(
                        ErrorKind.NO_UPSTREAM, "no upstream could be reached; retry the request"));
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

    /**
     * Ends a request for which no further attempt is made, with an error that tells whether it may
     * have run.
     */
    private void giveUp(long nowMs, Failure notRunFailure) {
        if (mStreaming) {
            billAndBreakStream(
                    nowMs,
                    Failure.of(
                            ErrorKind.STREAM_BROKEN,
                            "the upstream failed in the middle of the answer; retry the request"));
            return;
        }
        failWithoutBill(
                nowMs,
                mMayHaveRun
                        ? Failure.of(
                                ErrorKind.UPSTREAM_FAILED,
                                "all attempted upstreams failed; retry the request")
                        : notRunFailure);
    }

    private void handleDeadline(long nowMs) {
        if (mState == State.BILLING || mState == State.ENDED) {
            return;
        }
        cancelLiveAttempt(nowMs);
        if (mStreaming) {
            billAndBreakStream(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, deadlineMessage()));
            return;
        }
        ErrorKind kind =
                mMayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN;
        failWithoutBill(nowMs, Failure.of(kind, deadlineMessage()));
    }

    private void handleCallerGone(long nowMs) {
        if (mState == State.BILLING || mState == State.ENDED) {
            return;
        }
        cancelLiveAttempt(nowMs);
        Failure gone = Failure.of(ErrorKind.STREAM_BROKEN, "the caller closed its connection");
        if (mStreaming) {
            billAndBreakStream(nowMs, gone);
        } else {
            failWithoutBill(nowMs, gone);
        }
    }

    /** Bills the tokens that the caller was sent, then aborts the stream. */
    private void billAndBreakStream(long nowMs, Failure failure) {
        mFailure = Optional.of(failure);
        bill(nowMs);
    }

    private void failWithoutBill(long nowMs, Failure failure) {
        mFailure = Optional.of(failure);
        end(nowMs, BillAmount.NOTHING, Optional.empty());
    }

    private void cancelLiveAttempt(long nowMs) {
        if (mLiveAttempt.isPresent()) {
            mMayHaveRun = true;
            mLiveAttempt.get().cancel(nowMs);
            mLiveAttempt = Optional.empty();
        }
    }

    private void end(long nowMs, BillAmount bill, Optional<Charge> charge) {
        mState = State.ENDED;
        mCancelDeadline.run();
        mCancelRetryTimer.run();
        if (mReserved) {
            mReserved = false;
            mPorts.budget().cancel(nowMs);
        }
        leaveQueue(nowMs);
        answer(nowMs, bill);
        mPorts.observer().onEnd(nowMs, mFailure.map(Failure::kind), bill, charge);
    }

    private void answer(long nowMs, BillAmount bill) {
        if (mFailure.isPresent()) {
            if (mStreaming) {
                mPorts.caller().breakStream(mFailure.get());
            } else {
                mPorts.caller().fail(mFailure.get());
            }
            return;
        }
        if (mFullAnswer.isPresent()) {
            UpstreamAnswer whole = mFullAnswer.get();
            mPorts.observer().onFirstPart(nowMs);
            mPorts.caller().respond(whole.status(), whole.contentType(), whole.body());
            return;
        }
        if (!mStreaming) {
            mPorts.caller().startStream();
        }
        if (mPlan.includeUsage()) {
            mPorts.caller().sendEvent(mRewriter.usageChunk(nowMs, bill));
        }
        mPorts.caller().endStream();
    }

    private void reportInternalFault(RuntimeException fault) {
        mPorts.observer().onInternalFault(fault);
    }

    private UsageMeter newMeter() {
        return new UsageMeter(mPlan.maxPromptTokens(), mPlan.completionLimit());
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
        return "the deadline has passed; retry the request or use a longer deadline";
    }
}
