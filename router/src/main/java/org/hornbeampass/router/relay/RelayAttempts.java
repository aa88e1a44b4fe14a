package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

import java.util.Optional;

/**
 * Sends one admitted request to upstreams, one after another, and forwards the answer.
 *
 * <p>Invariants: at most one upstream works on the request at a time; the number of sends stays
 * within the route's maximum, not counting sends that reached a different upstream than intended.
 * Confined to one event loop.
 */
final class RelayAttempts
        implements RequestExecution,
                UpstreamListener,
                UpstreamSearch.Listener,
                UnframedAnswerCheck.Listener {
    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final RequestBody mBody;
    private final BodyTransfer mTransfer;
    private final CrashHistory mCrashes;
    private final LossAttribution mLoss;
    private final CallerAnswer mAnswer;
    private final SendCounts mCounts;
    private final SilenceTimeout mSilenceTimeout;
    private final UpstreamSearch mSearch;
    private final UnframedAnswerCheck mEndCheck;
    private Optional<InFlightSend> mSend = Optional.empty();
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<AnswerFraming> mFraming = Optional.empty();
    private boolean mSucceeded;
    private long mSentMs;
    private long mFirstByteMs = -1;

    RelayAttempts(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            RequestBody body,
            CrashHistory crashes) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mBody = body;
        mTransfer = new BodyTransfer(call, body);
        mCrashes = crashes;
        mLoss = new LossAttribution(context.log(), crashes);
        mAnswer = new CallerAnswer(context, call, plan, context.pool().limits());
        mCounts = new SendCounts(plan.route());
        mSilenceTimeout = new SilenceTimeout(call, plan.route(), this::onSilent);
        mEndCheck = new UnframedAnswerCheck(context, call, crashes, this);
        mSearch =
                new UpstreamSearch(
                        context, call, plan, crashes, mCounts, this, this::onInstanceEnded);
    }

    /** Sends the request to an upstream to which it was not sent yet. */
    @Override
    public void start(long nowMs) {
        mSearch.start(nowMs);
    }

    @Override
    public void onFound(long nowMs, InFlightSend send, UpstreamConnection connection) {
        mSend = Optional.of(send);
        mConnection = Optional.of(connection);
        if (mCounts.onSent()) {
            mContext.countFirstSend(nowMs, mPlan.service().name());
        }
        mSentMs = nowMs;
        mTransfer.restart();
        connection.start(
                mPlan.upstreamHead(nowMs, mContext.wire(), send, mAnswer.lastEventId()), this);
        mTransfer.send(connection);
        mSilenceTimeout.startForAnswer();
    }

    @Override
    public void onBody(long nowMs) {
        mConnection.ifPresentOrElse(mTransfer::send, mTransfer::awaitConnection);
    }

    @Override
    public void onUpstreamWritable(long nowMs) {
        mConnection.ifPresent(mTransfer::onWritability);
    }

    @Override
    public boolean onHead(long nowMs, HttpResponse head) {
        AnswerHead answer = mContext.wire().readAnswer(head, mPlan.head().id());
        mContext.answerSignals().onAnswer(nowMs, mSentMs, mSend.orElseThrow().instance(), answer);
        AnswerOutcome outcome = answer.outcome();
        if (outcome == AnswerOutcome.UNRELATED) {
            logDecision(nowMs, "unrelated-answer", mSend.get().fields());
            return false;
        }
        mSilenceTimeout.stop();
        if (outcome == AnswerOutcome.NOT_RUN || outcome == AnswerOutcome.WRONG_UPSTREAM) {
            onNotRun(nowMs, outcome);
            return true;
        }
        if (outcome == AnswerOutcome.UNVERIFIED) {
            mSend.get().instance().onErrorAnswer(nowMs);
            cancelConnection();
            onAttemptLost(
                    nowMs, "the answer lacks the headers that prove its origin", mCrashes.status());
            return true;
        }
        onProcessed(nowMs, head, outcome);
        return true;
    }

    private void onNotRun(long nowMs, AnswerOutcome outcome) {
        UpstreamInstance instance = mSend.orElseThrow().instance();
        mCounts.onNotRun(outcome);
        if (outcome == AnswerOutcome.WRONG_UPSTREAM) {
            mContext.upstreamRegistry().onIdentityMismatch(nowMs, instance);
        } else {
            instance.onOverloaded(nowMs, RelayBounds.FULL_PAUSE_MS);
            mSearch.onFull(nowMs, instance);
        }
        String decision = outcome == AnswerOutcome.NOT_RUN ? "upstream-full" : "upstream-replaced";
        logDecision(nowMs, decision, mSend.get().fields());
        abandonSend();
        if (mCounts.mayResend() && mBody.replayable()) {
            start(nowMs);
        } else {
            giveUp(nowMs, "the upstreams have no free capacity at present");
        }
    }

    private void onProcessed(long nowMs, HttpResponse head, AnswerOutcome outcome) {
        UpstreamInstance instance = mSend.orElseThrow().instance();
        AnswerFraming framing = AnswerFraming.of(mPlan.request().method(), head);
        mFraming = Optional.of(framing);
        mSucceeded = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (outcome == AnswerOutcome.FAILED) {
            instance.onErrorAnswer(nowMs);
            if (mayRetry() && !mAnswer.headSent()) {
                LogFields fields = mSend.get().fields().add("status", head.status().code());
                logDecision(nowMs, "upstream-failed", fields);
                if (mSearch.hasUntriedUpstream(nowMs)) {
                    abandonSend();
                    start(nowMs);
                    return;
                }
            }
        }
        mContext.log().countAnswer(framing);
        if (mFirstByteMs < 0) {
            mFirstByteMs = nowMs;
        }
        if (mAnswer.headSent()) {
            if (!mPlan.isStream(head, outcome)) {
                abandonSend();
                abortAnswer(nowMs, "the stream could not be resumed at another upstream");
                return;
            }
            mSilenceTimeout.startForEvent();
            return;
        }
        HttpResponse copy = EndToEndHeaders.copyOf(head);
        copy.headers().remove(ErrorAnswer.RUN_STATE_HEADER);
        if (mPlan.isStream(head, outcome)) {
            mAnswer.startStream(copy);
            mSilenceTimeout.startForEvent();
        } else {
            mAnswer.startBuffered(copy);
        }
    }

    private boolean mayRetry() {
        return mPlan.route().mayRunAgain()
                && mCounts.hasAttemptsLeft()
                && mBody.replayable()
                && !mCall.callerGone();
    }

    @Override
    public void onPart(long nowMs, ByteBuf part) {
        if (mCall.ended() || mConnection.isEmpty()) {
            part.release();
            return;
        }
        mSend.orElseThrow().onAnswerPart(nowMs, mSentMs);
        boolean continuous = mAnswer.append(part);
        if (mAnswer.eventCount() > 0) {
            mSearch.onEvents(mSend.get());
            mSend.get().onEvents(nowMs, mAnswer.eventCount());
        }
        if (!continuous) {
            abandonSend();
            abortAnswer(nowMs, "an upstream omitted events of the stream");
            return;
        }
        mAnswer.exceededBound().ifPresent(bound -> dropUpstream(nowMs, bound));
    }

    @Override
    public void onReadComplete(long nowMs) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        mCall.caller().flush();
        if (!mCall.caller().isWritable() && !mCall.callerGone()) {
            mConnection.get().setReading(false);
        }
        if (mAnswer.streaming()) {
            mSilenceTimeout.onEvents(mAnswer.eventCount());
        }
    }

    @Override
    public void onCallerWritable() {
        mConnection.ifPresent(c -> c.setReading(mCall.caller().isWritable()));
    }

    @Override
    public void onEnd(long nowMs) {
        if (mCall.ended()) {
            return;
        }
        AnswerFraming framing = mFraming.orElseThrow();
        Optional<String> defect =
                mAnswer.defect(framing).or(() -> mLoss.defect(nowMs, framing, mConnection));
        if (defect.isPresent()) {
            onBroken(nowMs, defect.get());
            return;
        }
        mSend.orElseThrow().onAnswerPart(nowMs, mSentMs);
        mConnection = Optional.empty();
        if (!framing.isExplicit()) {
            mSilenceTimeout.stop();
            mEndCheck.start(nowMs, mSend.get(), mAnswer.streaming());
            return;
        }
        mCrashes.onAnswered(nowMs, mSend.get().instance(), mSentMs, mSucceeded);
        onComplete(nowMs);
    }

    @Override
    public void onAnswerConfirmed(long nowMs) {
        onComplete(nowMs);
    }

    @Override
    public void onAnswerDoubtful(long nowMs, QuarantineStatus before) {
        mSend.orElseThrow().instance().onNoAnswer(nowMs);
        onAttemptLost(nowMs, "the upstream has ended with its connection", before);
    }

    private void onComplete(long nowMs) {
        mSend.ifPresent(s -> s.onComplete(nowMs, mSentMs));
        releaseSend();
        mSilenceTimeout.stop();
        if (mCall.callerGone()) {
            mAnswer.release();
            mCall.end(nowMs, "caller-gone", usedTokens());
            return;
        }
        mAnswer.end();
        mCall.end(nowMs, "answered", usedTokens());
        mCall.caller().sendEnd();
    }

    @Override
    public void onBroken(long nowMs, String reason) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        UpstreamInstance instance = mSend.orElseThrow().instance();
        long unreadMs = mConnection.get().longestPauseMs(nowMs);
        mConnection = Optional.empty();
        QuarantineStatus before = mLoss.onBroken(nowMs, unreadMs, instance);
        onAttemptLost(nowMs, reason, before);
    }

    /** Handles the restart of the upstream: what was sent to its former incarnation is lost. */
    private void onInstanceEnded(long nowMs) {
        if (mCall.ended() || (mConnection.isEmpty() && !mEndCheck.isPending())) {
            return;
        }
        cancelConnection();
        mEndCheck.cancel();
        QuarantineStatus before =
                mCrashes.onUpstreamRestarted(nowMs, mSend.orElseThrow().instance());
        onAttemptLost(nowMs, "the upstream has restarted", before);
    }

    /**
     * Retries after an upstream was lost, where that is allowed; otherwise gives up.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for the log
     * @param before the request's quarantine status before this loss
     */
    private void onAttemptLost(long nowMs, String reason, QuarantineStatus before) {
        LogFields fields = mSend.map(s -> s.fieldsAt(nowMs, mSentMs)).orElseGet(LogFields::new);
        fields.add("reason", reason).add("events", mAnswer.eventCount());
        mLoss.log(nowMs, mPlan.head().id(), fields);
        releaseSend();
        mSilenceTimeout.stop();
        if (mCall.callerGone()) {
            mCall.end(nowMs, "caller-gone", usedTokens());
            return;
        }
        if (mayRetry() && before.mayBeRetried() && mAnswer.canRestart()) {
            mAnswer.discardUnsent();
            start(nowMs);
            return;
        }
        giveUp(nowMs, mLoss.reason());
    }

    /** Handles a silent upstream: the request is sent to another one, where that is allowed. */
    private void onSilent(long nowMs) {
        if (mConnection.isEmpty() || !mayRetry() || !mAnswer.canRestart()) {
            return;
        }
        dropUpstream(nowMs, "the upstream was silent for too long");
    }

    @Override
    public void onClosedSlow(long nowMs, String reason) {
        dropUpstream(nowMs, reason);
    }

    private void dropUpstream(long nowMs, String reason) {
        mSend.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        cancelConnection();
        onAttemptLost(nowMs, reason, mCrashes.status());
    }

    @Override
    public void onDeadline(long nowMs) {
        if (mConnection.isPresent() && mFirstByteMs < 0) {
            mSend.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        }
        abandonSend();
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, "the deadline has passed");
            return;
        }
        if (mCounts.mayHaveRun()) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"));
        } else {
            fail(
                    nowMs,
                    Refusals.noUpstream("the deadline passed before the request could be sent"));
        }
    }

    @Override
    public void refuse(long nowMs, Failure failure) {
        abandonSend();
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, failure.message());
        } else {
            fail(nowMs, failure);
        }
    }

    /**
     * Handles the loss of the caller. A request that may not be repeated continues to run, so that
     * its outcome becomes known.
     */
    @Override
    public void onCallerGone(long nowMs) {
        boolean sent = mConnection.isPresent();
        if (sent && !mPlan.route().kind().cancelsOnCallerDisconnect()) {
            mConnection.get().setReading(true);
            return;
        }
        abandonSend();
        mAnswer.release();
        mCall.end(nowMs, "caller-gone", usedTokens());
    }

    @Override
    public void onQuarantined(long nowMs) {
        if (mCounts.mayHaveRun()) {
            giveUp(nowMs, mCrashes.reasonNotSent(nowMs));
        } else {
            fail(nowMs, mCrashes.refuse(nowMs));
        }
    }

    @Override
    public void onNoneAvailable(long nowMs) {
        if (mAnswer.headSent() || mCounts.mayHaveRun()) {
            giveUp(nowMs, "no upstream accepts requests at present");
            return;
        }
        if (mCall.forwardIfAdvised(nowMs)) {
            return;
        }
        fail(
                nowMs,
                UnavailableService.refusal(
                        nowMs, mContext.upstreamRegistry(), mPlan, mContext.random()));
    }

    @Override
    public void onGivenUp(long nowMs, String why) {
        boolean mayForward = !mAnswer.headSent() && !mCounts.mayHaveRun();
        if (mayForward && mCall.forwardIfAdvised(nowMs)) {
            return;
        }
        giveUp(nowMs, why);
    }

    private void giveUp(long nowMs, String why) {
        if (mAnswer.headSent()) {
            abortAnswer(nowMs, why);
            return;
        }
        if (!mCounts.mayHaveRun()) {
            fail(nowMs, mSearch.refusal(nowMs, why));
            return;
        }
        mContext.log().logGivenUp(nowMs, mPlan.head().id(), false, why);
        fail(nowMs, Failure.of(mPlan.route().kind().lossError(), why));
    }

    private void fail(long nowMs, Failure failure) {
        mAnswer.release();
        mCall.fail(nowMs, failure, usedTokens());
    }

    /**
     * Aborts an answer that can't be completed and closes the caller's connection, so that the
     * caller sees that the answer is incomplete.
     */
    private void abortAnswer(long nowMs, String why) {
        mContext.log().logGivenUp(nowMs, mPlan.head().id(), true, why);
        mAnswer.release();
        mCall.end(nowMs, mLoss.outcome(), usedTokens());
        mCall.caller().abort();
    }

    private void abandonSend() {
        cancelConnection();
        releaseSend();
        mSilenceTimeout.stop();
    }

    private void cancelConnection() {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mConnection = Optional.empty();
    }

    private void releaseSend() {
        mSearch.cancel();
        mSend.ifPresent(InFlightSend::release);
        mSend = Optional.empty();
        mCrashes.onSendEnded(mContext.clock().nowMs());
    }

    /**
     * Returns the tokens that the request has used: its prompt, counted once, and the tokens
     * delivered to the caller.
     */
    private long usedTokens() {
        if (!mCounts.mayHaveRun()) {
            return 0;
        }
        return mPlan.head().prompt().promptTokens() + mAnswer.eventCount() * mPlan.tokensPerEvent();
    }

    @Override
    public LogFields summary() {
        return mCounts.fields()
                .add("events", mAnswer.eventCount())
                .add("first_ms", mFirstByteMs < 0 ? -1 : mFirstByteMs - mSentMs)
                .add("framing", mFraming.map(AnswerFraming::logName).orElse(""))
                .add("partial_event_bytes", mAnswer.partialEventBytes());
    }

    private void logDecision(long nowMs, String decision, LogFields fields) {
        mContext.log().logDecision(nowMs, mPlan.head().id(), decision, fields);
    }
}
