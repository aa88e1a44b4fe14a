package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.RouteKind;
import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Sends one admitted request to upstreams, one after another, and passes the answer on.
 *
 * <p>Invariants: at most one upstream works on it at a time; the number of sends stays within the
 * route's, sends to an upstream that turned out to be another one not counted. Confined to one
 * event loop.
 */
final class RelayAttempts implements UpstreamListener, UpstreamSearch.Listener {
    private final RelayContext mParts;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final RequestBody mBody;
    private final CrashHistory mCrashes;
    private final CallerAnswer mAnswer;
    private final SendCounts mCounts;
    private final SilenceWatch mSilence;
    private final UpstreamSearch mSearch;
    private Optional<InstanceUse> mUse = Optional.empty();
    private Optional<UpstreamConnection> mConnection = Optional.empty();
    private boolean mBodySent;
    private long mSentMs;
    private long mFirstByteMs = -1;

    RelayAttempts(
            RelayContext parts,
            RelayCall call,
            RelayPlan plan,
            RequestBody body,
            CrashHistory crashes) {
        mParts = parts;
        mCall = call;
        mPlan = plan;
        mBody = body;
        mCrashes = crashes;
        mAnswer = new CallerAnswer(call, plan);
        mCounts = new SendCounts(plan.route());
        mSilence = new SilenceWatch(call, plan.route(), this::onSilent);
        mSearch =
                new UpstreamSearch(
                        parts, call, plan, crashes, mCounts, this, this::onInstanceEnded);
    }

    /** Sends the request to an upstream that it was not sent to yet. */
    void attempt(long nowMs) {
        mSearch.start(nowMs);
    }

    @Override
    public void onFound(long nowMs, InstanceUse use, UpstreamConnection connection) {
        mUse = Optional.of(use);
        mConnection = Optional.of(connection);
        if (mCounts.onSent()) {
            mParts.countFirst(nowMs, mPlan.service().name());
        }
        mSentMs = nowMs;
        mBodySent = false;
        connection.start(mPlan.upstreamHead(nowMs, mParts.wire(), use, mAnswer.lastId()), this);
        sendBody();
        mSilence.awaitAnswer();
    }

    /** Sends what has come of the body. */
    void onBody(long nowMs) {
        if (mConnection.isPresent() && !mBodySent) {
            sendBody();
        }
    }

    private void sendBody() {
        UpstreamConnection connection = mConnection.orElseThrow();
        for (ByteBuf part : mBody.take()) {
            connection.sendPart(part);
        }
        if (mBody.whole()) {
            mBodySent = true;
            connection.sendEnd();
            return;
        }
        connection.flush();
        if (!connection.writable()) {
            mCall.caller().reading(false);
        }
    }

    @Override
    public void onUpstreamWritable(long nowMs) {
        mCall.caller().reading(true);
    }

    @Override
    public boolean onHead(long nowMs, HttpResponse head) {
        AnswerHead said = mParts.wire().readAnswer(head, mPlan.head().id());
        mParts.answerSignals().onAnswer(nowMs, mSentMs, mUse.orElseThrow().instance(), said);
        AnswerOutcome answer = said.outcome();
        if (answer == AnswerOutcome.UNRELATED) {
            decided(nowMs, "unrelated-answer", mUse.get().fields());
            return false;
        }
        mSilence.stop();
        if (answer == AnswerOutcome.NOT_RUN || answer == AnswerOutcome.WRONG_UPSTREAM) {
            onNotRun(nowMs, answer);
            return true;
        }
        if (answer == AnswerOutcome.UNVERIFIED) {
            mUse.get().instance().onErrorAnswer(nowMs);
            dropConnectionOnly();
            onLost(nowMs, "its answer lacks what proves it", mCrashes.standing());
            return true;
        }
        onRun(nowMs, head, answer);
        return true;
    }

    private void onNotRun(long nowMs, AnswerOutcome answer) {
        UpstreamInstance instance = mUse.orElseThrow().instance();
        mCounts.onNotRun(answer);
        if (answer == AnswerOutcome.WRONG_UPSTREAM) {
            mParts.upstreamRegistry().onIdentityMismatch(nowMs, instance);
        } else {
            instance.onOverloaded(nowMs, RelayBounds.FULL_PAUSE_MS);
        }
        String decision = answer == AnswerOutcome.NOT_RUN ? "upstream-full" : "upstream-replaced";
        decided(nowMs, decision, mUse.get().fields());
        dropConnection();
        if (mCounts.mayGoOn() && mBody.complete()) {
            attempt(nowMs);
        } else {
            giveUp(nowMs, "the upstreams have no room now");
        }
    }

    private void onRun(long nowMs, HttpResponse head, AnswerOutcome answer) {
        UpstreamInstance instance = mUse.orElseThrow().instance();
        mCrashes.onHead(head);
        if (answer == AnswerOutcome.FAILED) {
            instance.onErrorAnswer(nowMs);
            if (mayRunAgain() && !mAnswer.begun()) {
                LogFields fields = mUse.get().fields().add("status", head.status().code());
                decided(nowMs, "upstream-failed", fields);
                if (mSearch.anyLeft(nowMs)) {
                    dropConnection();
                    attempt(nowMs);
                    return;
                }
            }
        }
        if (mFirstByteMs < 0) {
            mFirstByteMs = nowMs;
        }
        if (mAnswer.begun()) {
            if (answer != AnswerOutcome.SUCCEEDED) {
                dropConnection();
                breakOff(nowMs, "the stream could not go on at another upstream");
                return;
            }
            mSilence.awaitEvent();
            return;
        }
        HttpResponse copy =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, head.status(), EndToEndHeaders.of(head.headers()));
        boolean streams = mPlan.route().kind().streams() && answer == AnswerOutcome.SUCCEEDED;
        if (streams) {
            mAnswer.startStream(copy);
            mSilence.awaitEvent();
        } else {
            mAnswer.startHeld(copy);
        }
    }

    private boolean mayRunAgain() {
        return mPlan.route().mayRunAgain()
                && mCounts.attemptsLeft()
                && mBody.complete()
                && !mCall.callerGone();
    }

    @Override
    public void onPart(long nowMs, ByteBuf part) {
        if (mCall.ended() || mConnection.isEmpty()) {
            part.release();
            return;
        }
        mUse.orElseThrow().onAnswering(nowMs, mSentMs);
        boolean goesOn = mAnswer.take(part);
        if (!goesOn) {
            dropConnection();
            breakOff(nowMs, "an upstream left events out");
        }
    }

    @Override
    public void onPause(long nowMs) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        mCall.caller().flush();
        if (!mCall.caller().writable() && !mCall.callerGone()) {
            mConnection.get().reading(false);
        }
        if (mAnswer.streaming()) {
            mSilence.awaitEvent();
        }
    }

    /** Reads on once the caller has caught up. */
    void onCallerWritable() {
        mConnection.ifPresent(c -> c.reading(true));
    }

    @Override
    public void onEnd(long nowMs) {
        if (mCall.ended()) {
            return;
        }
        mUse.orElseThrow().onAnswering(nowMs, mSentMs);
        mConnection = Optional.empty();
        mCrashes.onAnswered(nowMs, mUse.orElseThrow().instance());
        leaveInstance();
        mSilence.stop();
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
        mConnection = Optional.empty();
        UpstreamInstance instance = mUse.orElseThrow().instance();
        instance.onNoAnswer(nowMs);
        QuarantineStatus before = mCrashes.onBroken(instance);
        onLost(nowMs, reason, before);
    }

    /** The upstream has started again: what was sent to its former incarnation is lost. */
    private void onInstanceEnded(long nowMs) {
        if (mCall.ended() || mConnection.isEmpty()) {
            return;
        }
        dropConnectionOnly();
        QuarantineStatus before = mCrashes.onStartedAgain(nowMs, mUse.orElseThrow().instance());
        onLost(nowMs, "the upstream has started again", before);
    }

    /**
     * Goes on after an upstream was lost, where that is allowed.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for logs
     * @param before the verdict on the request before this loss
     */
    private void onLost(long nowMs, String reason, QuarantineStatus before) {
        LogFields fields = mUse.map(InstanceUse::fields).orElseGet(LogFields::new);
        fields.add("reason", reason)
                .add("events", mAnswer.events())
                .add("digest", mCrashes.digest().toString());
        decided(nowMs, "upstream-lost", fields);
        leaveInstance();
        mSilence.stop();
        if (mCall.callerGone()) {
            mCall.end(nowMs, "caller-gone", usedTokens());
            return;
        }
        if (mayRunAgain() && before.mayBeRetried() && mAnswer.mayRestart()) {
            mAnswer.restart();
            attempt(nowMs);
            return;
        }
        giveUp(nowMs, "the upstream was lost");
    }

    /** An upstream says nothing: its place is taken by another, where that is allowed. */
    private void onSilent(long nowMs) {
        if (mConnection.isEmpty() || !mayRunAgain() || !mAnswer.mayRestart()) {
            return;
        }
        mUse.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        dropConnectionOnly();
        onLost(nowMs, "it was silent for too long", mCrashes.standing());
    }

    /** The time is over. */
    void onDeadline(long nowMs) {
        if (mConnection.isPresent() && mFirstByteMs < 0) {
            mUse.ifPresent(u -> u.instance().onNoAnswer(nowMs));
        }
        dropConnection();
        if (mAnswer.begun()) {
            breakOff(nowMs, "the time was over");
            return;
        }
        if (mCounts.mayHaveRun()) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, "the time was over"));
        } else {
            fail(nowMs, Refusals.noUpstream("the time was over before it could be sent"));
        }
    }

    /** The request is refused while it is being sent, so that no upstream can run it. */
    void refuse(long nowMs, Failure failure) {
        dropConnection();
        if (mAnswer.begun()) {
            breakOff(nowMs, failure.message());
        } else {
            fail(nowMs, failure);
        }
    }

    /** The caller is gone: what may not be repeated runs on, so that its outcome is known. */
    void onCallerGone(long nowMs) {
        boolean sent = mConnection.isPresent();
        if (sent && !mPlan.route().kind().cancelsOnCallerDisconnect()) {
            return;
        }
        dropConnection();
        mAnswer.release();
        mCall.end(nowMs, "caller-gone", usedTokens());
    }

    @Override
    public void onQuarantined(long nowMs) {
        if (mCounts.mayHaveRun()) {
            giveUp(nowMs, Refusals.QUARANTINED);
        } else {
            fail(nowMs, mCall.quarantined(nowMs, mCrashes.digest()));
        }
    }

    @Override
    public void onNoneUsable(long nowMs) {
        if (mAnswer.begun() || mCounts.mayHaveRun()) {
            giveUp(nowMs, "no upstream takes requests now");
            return;
        }
        String service = mPlan.service().name();
        OptionalLong pauseLeftMs = mParts.upstreamRegistry().requestedPauseLeftMs(nowMs, service);
        OptionalLong closedForMs = mParts.upstreamRegistry().unavailableForMs(nowMs, service);
        if (pauseLeftMs.isPresent()) {
            fail(nowMs, Refusals.upstreamsPause(pauseLeftMs.getAsLong()));
        } else if (closedForMs.isPresent()) {
            fail(nowMs, Refusals.rateLimited(closedForMs.getAsLong(), mParts.random()));
        } else {
            giveUp(nowMs, "no upstream takes requests now");
        }
    }

    @Override
    public void onGivenUp(long nowMs, String why) {
        giveUp(nowMs, why);
    }

    private void giveUp(long nowMs, String why) {
        if (mAnswer.begun()) {
            breakOff(nowMs, why);
            return;
        }
        if (!mCounts.mayHaveRun()) {
            fail(nowMs, Refusals.noUpstream(why));
            return;
        }
        ErrorKind kind =
                mPlan.route().kind() == RouteKind.NON_IDEMPOTENT
                        ? ErrorKind.OUTCOME_UNKNOWN
                        : ErrorKind.UPSTREAM_FAILED;
        fail(nowMs, Failure.of(kind, why));
    }

    private void fail(long nowMs, Failure failure) {
        mAnswer.release();
        mCall.fail(nowMs, failure, usedTokens());
    }

    /** Ends an answer that can't be finished, so that the caller sees that it is not whole. */
    private void breakOff(long nowMs, String why) {
        decided(nowMs, "broken-off", new LogFields().add("reason", why));
        mAnswer.release();
        mCall.end(nowMs, "broken", usedTokens());
        mCall.caller().abort();
    }

    private void dropConnection() {
        dropConnectionOnly();
        leaveInstance();
        mSilence.stop();
    }

    private void dropConnectionOnly() {
        mConnection.ifPresent(UpstreamConnection::cancel);
        mConnection = Optional.empty();
    }

    private void leaveInstance() {
        mSearch.cancel();
        mUse.ifPresent(InstanceUse::leave);
        mUse = Optional.empty();
        mCrashes.onLeft(mParts.clock().nowMs());
    }

    /** Returns the tokens that the request has used: its prompt once, and what was delivered. */
    private long usedTokens() {
        if (!mCounts.mayHaveRun()) {
            return 0;
        }
        return mPlan.head().prompt().promptTokens() + mAnswer.events() * mPlan.tokensPerEvent();
    }

    /** Returns the sends as fields of a log line. */
    LogFields summary() {
        return mCounts.fields()
                .add("events", mAnswer.events())
                .add("first_ms", mFirstByteMs < 0 ? -1 : mFirstByteMs - mSentMs);
    }

    private void decided(long nowMs, String decision, LogFields fields) {
        mParts.log().decided(nowMs, mPlan.head().id(), decision, fields);
    }
}
