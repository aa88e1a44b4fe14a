package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

import java.util.Optional;

/**
 * Sends one admitted request to upstreams, one after another, and forwards the answer.
 *
 * <p>Invariants: at most one upstream works on the request at a time, and one more while the first
 * is silent; the answer of one of them is forwarded; the number of sends stays within the route's
 * maximum, not counting sends that reached a different upstream than intended. Confined to one
 * event loop.
 */
final class RelayAttempts
        implements RequestExecution,
                UpstreamListener,
                UpstreamSearch.Listener,
                SilentUpstream.Owner,
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
    private final SendLog mSendLog;
    private final SilentUpstream mSilence;
    private final RequestEnd mEnd;
    private final UpstreamSearch mSearch;
    private final UpstreamReports mReports;
    private final RequestSender mSender;
    private final UnframedAnswerCheck mEndCheck;
    private Optional<InFlightSend> mSend = Optional.empty();
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private Optional<AnswerFraming> mFraming = Optional.empty();
    private boolean mSucceeded;
    private long mSentMs;
    private long mFirstMs = -1;

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
        mSendLog = new SendLog(context.log(), plan.head().id(), mCounts, mAnswer, mLoss);
        mEndCheck = new UnframedAnswerCheck(context, call, crashes, this);
        mSearch =
                new UpstreamSearch(
                        context, call, plan, crashes, mCounts, this, this::onInstanceEnded);
        mReports = new UpstreamReports(context, plan, mCounts, mSearch);
        mSender = new RequestSender(context, call, plan, body, mCounts, mAnswer, crashes, mReports);
        mSilence = new SilentUpstream(context.clock(), call, plan, mSearch, mSender, this);
        mEnd = new RequestEnd(context, call, plan, mCounts, mAnswer, crashes, mLoss, mSearch);
    }

    /** Sends the request to an upstream to which it was not sent yet. */
    @Override
    public void start(long nowMs) {
        mCounts.onSearch(nowMs);
        mSearch.start(nowMs);
    }

    @Override
    public void onFound(long nowMs, InFlightSend send, UpstreamConnection connection) {
        mSend = Optional.of(send);
        mConnection = Optional.of(connection);
        mSentMs = nowMs;
        mSender.start(nowMs, send, connection, mTransfer, this);
        mSilence.awaitAnswer();
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
        AnswerOutcome outcome =
                mReports.onHead(nowMs, mSentMs, mSend.orElseThrow().instance(), head);
        if (outcome == AnswerOutcome.UNRELATED) {
            return false;
        }
        if (outcome == AnswerOutcome.NOT_RUN || outcome == AnswerOutcome.WRONG_UPSTREAM) {
            onNotRun(nowMs, outcome);
        } else if (outcome == AnswerOutcome.UNVERIFIED) {
            leave(nowMs, "the answer lacks the headers that prove its origin");
        } else {
            onProcessed(nowMs, head, outcome);
        }
        return true;
    }

    private void onNotRun(long nowMs, AnswerOutcome outcome) {
        mReports.onNotRun(nowMs, mSend.orElseThrow(), outcome);
        if (followReplacement(nowMs)) {
            return;
        }
        if (outcome == AnswerOutcome.NOT_RUN) {
            mSearch.freePlaceOfFull(nowMs);
        }
        abandonSend();
        if (mCounts.mayResend() && mBody.replayable()) {
            start(nowMs);
        } else {
            mEnd.giveUp(nowMs, "the upstreams have no free capacity at present");
        }
    }

    private void onProcessed(long nowMs, HttpResponse head, AnswerOutcome outcome) {
        AnswerFraming framing = AnswerFraming.of(mPlan.request().method(), head);
        mFraming = Optional.of(framing);
        mSucceeded = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (outcome == AnswerOutcome.FAILED && leaveFailure(nowMs, head)) {
            return;
        }
        mContext.log().countAnswer(framing);
        if (mFirstMs < 0) {
            mFirstMs = nowMs - mSentMs;
        }
        if (mAnswer.headSent()) {
            if (!mPlan.isStream(head, outcome)) {
                leave(nowMs, "the answer does not go on with the stream");
                return;
            }
            mSilence.onStreamHead(nowMs);
            return;
        }
        HttpResponse copy = EndToEndHeaders.copyOf(head, mContext.wire());
        copy.headers().remove(ErrorAnswer.RUN_STATE_HEADER);
        if (mPlan.isStream(head, outcome)) {
            mAnswer.startStream(copy);
            mSilence.onStreamHead(nowMs);
        } else {
            mSilence.onBufferedHead(nowMs);
            mAnswer.startBuffered(copy);
        }
    }

    /** Leaves a failure for another upstream where one is there; returns whether it has. */
    private boolean leaveFailure(long nowMs, HttpResponse head) {
        if (!mSilence.hasReplacement() && !mayRetry()) {
            return false;
        }
        mReports.onFailed(nowMs, mSend.orElseThrow(), head);
        if (followReplacement(nowMs)) {
            return true;
        }
        mSilence.onAnswer(nowMs);
        if (!mAnswer.headSent() && !mSearch.mayFindAnother(nowMs)) {
            return false;
        }
        abandonSend();
        start(nowMs);
        return true;
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
        long events = mAnswer.eventCount();
        boolean continuous = mAnswer.append(part);
        if (mAnswer.eventCount() > events) {
            mSearch.onEvents(mSend.get());
            mSend.get().onEvents(nowMs, mAnswer.eventCount());
            mSilence.onEvents(nowMs, mAnswer.eventCount());
        }
        if (!continuous) {
            leave(nowMs, "the upstream omitted events of the stream");
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
            mSilence.onUnconfirmedEnd();
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
        if (mSucceeded) {
            mContext.shutdown()
                    .answerTimes()
                    .onAnswered(mPlan.route().name(), mCounts.workedMs(nowMs));
        }
        releaseSend();
        mEnd.complete(nowMs);
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

    /**
     * Handles a later start in the upstream's entry, which may arrive long after it. A connection
     * does not outlive its process, so what still comes on it is one answer; it is ended only if
     * nothing of that can be used.
     */
    private void onInstanceEnded(long nowMs, InFlightSend send) {
        mSilence.onInstanceEnded(nowMs, send);
        if (!mSend.equals(Optional.of(send)) || mCall.ended()) {
            return;
        }
        if (mConnection.isPresent() && mSearch.mayGoOnWith(send)) {
            keepThroughRestart(nowMs, send);
        } else if (mConnection.isPresent() || mEndCheck.isPending()) {
            onRestarted(nowMs);
        }
    }

    private void keepThroughRestart(long nowMs, InFlightSend send) {
        mSendLog.restartedKept(nowMs, send, mSentMs);
        if (send.hasBroughtEvents()) {
            mSearch.onRestarted(send);
        }
        if (mSearch.isVersionUncertain()) {
            mSilence.cancelReplacement(nowMs, "the stream goes on at no other upstream");
        }
        if (!send.hasBroughtEvents() || mSilence.isSilent()) {
            mCrashes.onSendDoubtful(nowMs, send);
            mSilence.onRestarted(nowMs, send.hasBegun());
        }
    }

    private void onRestarted(long nowMs) {
        cancelConnection();
        mEndCheck.cancel();
        onAttemptLost(nowMs, "the upstream has restarted", mCrashes.status());
    }

    /**
     * Retries after an upstream was lost, where that is allowed; otherwise gives up.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for the log
     * @param before the request's quarantine status before this loss
     */
    private void onAttemptLost(long nowMs, String reason, QuarantineStatus before) {
        mSendLog.lost(nowMs, mSend, mSentMs, reason);
        if (!mCall.callerGone() && before.mayBeRetried() && followReplacement(nowMs)) {
            return;
        }
        releaseSend();
        if (mCall.callerGone()) {
            mEnd.withoutCaller(nowMs);
            return;
        }
        if (mayRetry() && before.mayBeRetried() && mAnswer.canRestart()) {
            mAnswer.discardUnsent();
            start(nowMs);
            return;
        }
        mEnd.giveUp(nowMs, mLoss.reason());
    }

    @Override
    public boolean mayBeReplaced() {
        return mConnection.isPresent() && mayRetry() && mAnswer.canRestart();
    }

    @Override
    public void onSilent(long nowMs, long lateMs) {
        mSend.orElseThrow().instance().onNoAnswer(nowMs);
        mSendLog.silent(nowMs, mSend.get(), mSentMs, lateMs);
        mCrashes.onSendDoubtful(nowMs, mSend.get());
    }

    @Override
    public void onHeardAgain(long nowMs, long afterMs) {
        mSendLog.goesOn(nowMs, mSend.orElseThrow(), afterMs);
    }

    @Override
    public void onKept(long nowMs, String reason) {
        mSendLog.silentKept(nowMs, mSend.orElseThrow(), mSentMs, reason);
    }

    @Override
    public void onReplacement(long nowMs, ReplacementSend replacement) {
        mSendLog.replaced(nowMs, mSend.orElseThrow(), mSentMs, replacement.send());
        follow(nowMs, replacement);
    }

    /** Follows the other upstream that works on the request; returns whether there is one. */
    private boolean followReplacement(long nowMs) {
        if (!mAnswer.canRestart()) {
            return false;
        }
        Optional<ReplacementSend> replacement = mSilence.takeReplacement();
        replacement.ifPresent(r -> follow(nowMs, r));
        return replacement.isPresent();
    }

    private void follow(long nowMs, ReplacementSend replacement) {
        mEndCheck.cancel();
        abandonSend();
        mAnswer.discardUnsent();
        mSend = Optional.of(replacement.send());
        mConnection = replacement.connection();
        mSentMs = replacement.sentMs();
        if (replacement.head().isPresent()) {
            onProcessed(nowMs, replacement.head().get(), replacement.outcome());
        } else {
            mSilence.awaitAnswer();
        }
        Optional<InFlightSend> followed = Optional.of(replacement.send());
        replacement.forwardTo(nowMs, this, () -> mSend.equals(followed) && mConnection.isPresent());
    }

    @Override
    public void onClosedSlow(long nowMs, String reason) {
        dropUpstream(nowMs, reason);
    }

    private void dropUpstream(long nowMs, String reason) {
        mSend.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        leave(nowMs, reason);
    }

    private void leave(long nowMs, String reason) {
        cancelConnection();
        onAttemptLost(nowMs, reason, mCrashes.status());
    }

    @Override
    public void onDeadline(long nowMs) {
        if (mConnection.isPresent() && mFirstMs < 0) {
            mSend.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        }
        abandonSend();
        mEnd.atDeadline(nowMs);
    }

    @Override
    public void onExit(long nowMs) {
        abandonSend();
        mEnd.atExit(nowMs);
    }

    @Override
    public void refuse(long nowMs, Failure failure) {
        abandonSend();
        mEnd.refuse(nowMs, failure);
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
        mEnd.withoutCaller(nowMs);
    }

    @Override
    public void onQuarantined(long nowMs) {
        mEnd.quarantine(nowMs);
    }

    @Override
    public void onNoneAvailable(long nowMs) {
        mEnd.withoutUpstream(nowMs);
    }

    @Override
    public void onGivenUp(long nowMs, String why) {
        mEnd.unreachable(nowMs, why);
    }

    private void abandonSend() {
        cancelConnection();
        releaseSend();
    }

    private void cancelConnection() {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mConnection = Optional.empty();
    }

    /** Ends a send; the request keeps its place at the service until it ends. */
    private void releaseSend() {
        mSilence.stop();
        mCrashes.onSendEnded(mContext.clock().nowMs(), mSend);
        mSend.ifPresent(InFlightSend::release);
        mSend = Optional.empty();
    }

    @Override
    public LogFields summary() {
        return mCounts.fields()
                .add("events", mAnswer.eventCount())
                .add("first_ms", mFirstMs)
                .add("framing", mFraming.map(AnswerFraming::logName).orElse(""))
                .add("partial_event_bytes", mAnswer.partialEventBytes());
    }
}
