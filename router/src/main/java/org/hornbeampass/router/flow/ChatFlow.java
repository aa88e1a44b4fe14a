package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.ChatChunkReader;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * Decides what happens next in the life of one chat completion.
 *
 * <p>Invariants: at most one attempt is live, and only its events have effect; chunks reach the
 * caller in the order in which the live attempt gave them; a successful reservation is settled or
 * cancelled exactly once; at most one bill is made; the closing part of an answer follows its bill;
 * an error that says "not run" is only given where no attempt was started that may have sent a
 * byte. Has no clock and no thread. Thread-safe: events run one at a time through a {@link
 * SerialQueue}.
 */
public final class ChatFlow implements AttemptListener {
    /** The states in the order in which a request passes them; later ones may be skipped to. */
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
    private int mNumber;
    private Optional<Attempt> mLive = Optional.empty();
    private UsageMeter mMeter;
    private Relayed mRelayed = Relayed.NOTHING;
    private boolean mFinishSeen;
    private Runnable mDeadline = () -> {};
    private Runnable mRetryTimer = () -> {};
    private Optional<UpstreamAnswer> mWhole = Optional.empty();
    private Optional<Failure> mFailure = Optional.empty();

    /** Makes the flow of one request, to be started once. */
    public ChatFlow(ChatPlan plan, FlowPorts ports) {
        mPlan = plan;
        mPorts = ports;
        mRewriter = new ChunkRewriter(plan);
        mMeter = newMeter();
        mEvents = new SerialQueue(this::onFaultOfOwn);
    }

    /** Starts the request. */
    public void start(long nowMs) {
        mEvents.run(() -> doStart(nowMs));
    }

    /** The caller is gone: stops the work, and bills what was generated. */
    public void onCallerGone(long nowMs) {
        mEvents.run(() -> doCallerGone(nowMs));
    }

    /** A slow caller has caught up. */
    public void onCallerWritable() {
        mEvents.run(() -> mLive.ifPresent(Attempt::resume));
    }

    @Override
    public void onChunk(long nowMs, int number, ChatChunk chunk) {
        mEvents.run(() -> ifLive(number, () -> doChunk(nowMs, chunk)));
    }

    @Override
    public void onDone(long nowMs, int number) {
        mEvents.run(() -> ifLive(number, () -> finish(nowMs)));
    }

    @Override
    public void onWhole(long nowMs, int number, UpstreamAnswer answer) {
        mEvents.run(() -> ifLive(number, () -> doWhole(nowMs, answer)));
    }

    @Override
    public void onRejected(long nowMs, int number, UpstreamAnswer answer) {
        mEvents.run(() -> ifLive(number, () -> doRejected(nowMs, answer)));
    }

    @Override
    public void onFault(long nowMs, int number, AttemptFault fault) {
        mEvents.run(() -> ifLive(number, () -> doFault(nowMs, fault)));
    }

    private void ifLive(int number, Runnable event) {
        if (mState == State.TRYING && number == mNumber && mLive.isPresent()) {
            event.run();
        }
    }

    private void doStart(long nowMs) {
        if (mState != State.NEW) {
            return; // The caller was gone before it could start.
        }
        if (nowMs >= mPlan.deadlineMs()) {
            failAtOnce(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, lateMessage()));
            return;
        }
        Optional<Failure> refusal = mPorts.bills().refusal(nowMs);
        if (refusal.isPresent()) {
            failAtOnce(nowMs, refusal.get());
            return;
        }
        mDeadline =
                mPorts.timers()
                        .at(nowMs, mPlan.deadlineMs(), t -> mEvents.run(() -> doDeadline(t)));
        mState = State.QUEUED;
        mQueued = true;
        mPorts.admission().enter(nowMs, (t, shed) -> mEvents.run(() -> doAdmitted(t, shed)));
    }

    private void doAdmitted(long nowMs, Optional<Failure> shed) {
        if (mState != State.QUEUED) {
            return;
        }
        if (shed.isPresent()) {
            failAtOnce(nowMs, shed.get());
            return;
        }
        mState = State.RESERVING;
        mPorts.budget()
                .reserve(
                        nowMs,
                        mPlan.worstCaseTokens(),
                        (t, refused) -> mEvents.run(() -> doReserved(t, refused)));
    }

    private void doReserved(long nowMs, Optional<Failure> refused) {
        if (mState != State.RESERVING) {
            if (refused.isEmpty()) {
                mPorts.budget().cancel(nowMs);
            }
            return;
        }
        if (refused.isPresent()) {
            failAtOnce(nowMs, refused.get());
            return;
        }
        mReserved = true;
        mState = State.TRYING;
        tryNext(nowMs);
    }

    private void tryNext(long nowMs) {
        mNumber++;
        if (mRelayed.isNothing()) {
            mMeter = newMeter();
        }
        Either<Failure, Attempt> started = mPorts.upstreams().start(nowMs, mNumber, mRelayed, this);
        if (started.isLeft()) {
            giveUp(nowMs, started.getLeft());
            return;
        }
        mLive = Optional.of(started.get());
    }

    private void doChunk(long nowMs, ChatChunk chunk) {
        if (chunk.offset().isPresent() && chunk.offset().getAsLong() != mMeter.completionTokens()) {
            dropLive(nowMs);
            doFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.BROKEN_IN_ANSWER,
                            "the upstream went on at token "
                                    + chunk.offset().getAsLong()
                                    + " in place of "
                                    + mMeter.completionTokens()));
            return;
        }
        if (chunk.hasDelta() && mMeter.isAtLimit()) {
            cutAtLimit(nowMs);
            return;
        }
        mMeter.count(chunk);
        mFinishSeen |= chunk.finishReason().isPresent();
        if (chunk.hasDelta()) {
            mRelayed = new Relayed(mRelayed.parts() + 1, mMeter.completionTokens());
        }
        if (!chunk.hasChoices() && chunk.usage().isPresent()) {
            return; // The router sends its own usage chunk, so that it equals the bill.
        }
        relay(nowMs, mRewriter.rewrite(chunk));
    }

    private void relay(long nowMs, byte[] data) {
        if (!mStreaming) {
            mStreaming = true;
            mPorts.caller().startStream();
            mPorts.observer().onFirstPart(nowMs);
        } else {
            mPorts.observer().onPart(nowMs);
        }
        if (!mPorts.caller().event(data)) {
            mLive.ifPresent(Attempt::pause);
        }
    }

    private void cutAtLimit(long nowMs) {
        dropLive(nowMs);
        relay(nowMs, mRewriter.lengthChunk(nowMs));
        finish(nowMs);
    }

    private void doWhole(long nowMs, UpstreamAnswer answer) {
        Optional<ChatChunk> read = ChatChunkReader.read(answer.body());
        if (read.isEmpty() || !read.get().hasChoices()) {
            doFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.UPSTREAM_ERROR, "the answer is no chat completion"));
            return;
        }
        mMeter.count(read.get());
        mWhole =
                Optional.of(
                        new UpstreamAnswer(
                                answer.status(),
                                answer.contentType(),
                                mRewriter.rewrite(read.get())));
        finish(nowMs);
    }

    private void doRejected(long nowMs, UpstreamAnswer answer) {
        if (mStreaming) {
            doFault(
                    nowMs,
                    new AttemptFault(
                            AttemptOutcome.UPSTREAM_ERROR, "the upstream refused to go on"));
            return;
        }
        mLive = Optional.empty();
        mWhole = Optional.of(answer);
        end(nowMs, Bill.NOTHING, Optional.empty());
    }

    /** The answer has come whole; its bill comes before its last part. */
    private void finish(long nowMs) {
        mLive = Optional.empty();
        bill(nowMs);
    }

    private void bill(long nowMs) {
        mState = State.BILLING;
        leaveQueue(nowMs);
        Bill bill = mMeter.bill();
        mPorts.bills()
                .bill(nowMs, bill, (t, charge) -> mEvents.run(() -> doBilled(t, bill, charge)));
    }

    private void doBilled(long nowMs, Bill bill, Charge charge) {
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

    private void doFault(long nowMs, AttemptFault fault) {
        if (mFinishSeen) {
            finish(nowMs); // Only the closing event is missing: the answer itself is whole.
            return;
        }
        mLive = Optional.empty();
        mMayHaveRun |= fault.outcome().mayHaveSent();
        Retry retry = mPorts.upstreams().afterFault(nowMs, fault, mRelayed);
        if (retry instanceof Retry.Again again && nowMs + again.afterMs() < mPlan.deadlineMs()) {
            retryAfter(nowMs, again.afterMs());
            return;
        }
        giveUp(nowMs, Failure.of(ErrorKind.NO_UPSTREAM, "no upstream could be reached; retry"));
    }

    private void retryAfter(long nowMs, long afterMs) {
        if (afterMs <= 0) {
            tryNext(nowMs);
            return;
        }
        mRetryTimer =
                mPorts.timers().at(nowMs, nowMs + afterMs, t -> mEvents.run(() -> doRetry(t)));
    }

    private void doRetry(long nowMs) {
        if (mState == State.TRYING && mLive.isEmpty()) {
            tryNext(nowMs);
        }
    }

    /** Ends a request for which no further attempt is made, with the honest kind of error. */
    private void giveUp(long nowMs, Failure whereNotRun) {
        if (mStreaming) {
            breakOff(
                    nowMs,
                    Failure.of(
                            ErrorKind.STREAM_BROKEN,
                            "the upstream failed in the middle of the answer; send it again"));
            return;
        }
        failAtOnce(
                nowMs,
                mMayHaveRun
                        ? Failure.of(
                                ErrorKind.UPSTREAM_FAILED,
                                "the upstreams that were tried failed; send it again")
                        : whereNotRun);
    }

    private void doDeadline(long nowMs) {
        if (mState == State.BILLING || mState == State.ENDED) {
            return;
        }
        dropLive(nowMs);
        if (mStreaming) {
            breakOff(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, lateMessage()));
            return;
        }
        ErrorKind kind =
                mMayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN;
        failAtOnce(nowMs, Failure.of(kind, lateMessage()));
    }

    private void doCallerGone(long nowMs) {
        if (mState == State.BILLING || mState == State.ENDED) {
            return;
        }
        dropLive(nowMs);
        Failure gone = Failure.of(ErrorKind.STREAM_BROKEN, "the caller closed its connection");
        if (mStreaming) {
            breakOff(nowMs, gone);
        } else {
            failAtOnce(nowMs, gone);
        }
    }

    /** Bills what the caller was sent, then breaks the stream off. */
    private void breakOff(long nowMs, Failure failure) {
        mFailure = Optional.of(failure);
        bill(nowMs);
    }

    private void failAtOnce(long nowMs, Failure failure) {
        mFailure = Optional.of(failure);
        end(nowMs, Bill.NOTHING, Optional.empty());
    }

    private void dropLive(long nowMs) {
        if (mLive.isPresent()) {
            mMayHaveRun = true;
            mLive.get().cancel(nowMs);
            mLive = Optional.empty();
        }
    }

    private void end(long nowMs, Bill bill, Optional<Charge> charge) {
        mState = State.ENDED;
        mDeadline.run();
        mRetryTimer.run();
        if (mReserved) {
            mReserved = false;
            mPorts.budget().cancel(nowMs);
        }
        leaveQueue(nowMs);
        answer(nowMs, bill);
        mPorts.observer().onEnd(nowMs, mFailure.map(Failure::kind), bill, charge);
    }

    private void answer(long nowMs, Bill bill) {
        if (mFailure.isPresent()) {
            if (mStreaming) {
                mPorts.caller().breakStream(mFailure.get());
            } else {
                mPorts.caller().fail(mFailure.get());
            }
            return;
        }
        if (mWhole.isPresent()) {
            UpstreamAnswer whole = mWhole.get();
            mPorts.observer().onFirstPart(nowMs);
            mPorts.caller().respond(whole.status(), whole.contentType(), whole.body());
            return;
        }
        if (!mStreaming) {
            mPorts.caller().startStream();
        }
        if (mPlan.includeUsage()) {
            mPorts.caller().event(mRewriter.usageChunk(nowMs, bill));
        }
        mPorts.caller().endStream();
    }

    private void onFaultOfOwn(RuntimeException fault) {
        mPorts.observer().onInternalFault(fault);
    }

    private UsageMeter newMeter() {
        return new UsageMeter(mPlan.promptBound(), mPlan.completionLimit());
    }

    /** Gives the turn back as soon as the upstream's work is over; the bill holds no place. */
    private void leaveQueue(long nowMs) {
        if (mQueued) {
            mQueued = false;
            mPorts.admission().leave(nowMs);
        }
    }

    private static String lateMessage() {
        return "the deadline has passed; allow more time or send it again";
    }
}
