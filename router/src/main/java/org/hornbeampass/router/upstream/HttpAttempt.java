package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptIdleMonitor;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.AttemptTimeouts;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.router.flow.Attempt;
import org.hornbeampass.router.flow.AttemptFault;
import org.hornbeampass.router.flow.AttemptListener;
import org.hornbeampass.router.flow.UpstreamAnswer;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.LeavingEvidence;
import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One attempt over HTTP: sends the request, classifies its answer and reports the result to the
 * flow.
 *
 * <p>Invariants: the chooser is told of the end of the attempt exactly once, whether the upstream,
 * the flow or the connection ends it; after that the flow receives no more events. An attempt that
 * is silent for longer than its {@link AttemptTimeouts} allow is cancelled and ends as a failure.
 * The answer arrives on one event loop, so its state needs no lock; {@link #cancel}, {@link
 * #pause}, {@link #resume} and the check for silence may run on any thread.
 */
class HttpAttempt implements Attempt, HttpClient.Listener {
    private static final String JSON = "application/json";

    private final AttemptContext mContext;
    private final UpstreamChoice mChoice;
    private final int mNumber;
    private final AttemptListener mListener;
    private final AttemptTimeouts mTimeouts;
    private final AttemptIdleMonitor mWatch;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private volatile HttpClient.Call mCall;
    private volatile boolean mClosed;
    private volatile Runnable mCancelSilenceCheck = () -> {};
    private int mStatus;
    private String mContentType = JSON;
    private boolean mLeaving;
    private boolean mFirstPartSeen;

    HttpAttempt(
            AttemptContext context,
            UpstreamChoice choice,
            int number,
            AttemptListener listener,
            AnswerKind kind) {
        mContext = context;
        mChoice = choice;
        mNumber = number;
        mListener = listener;
        long nowMs = context.clock().nowMs();
        mTimeouts = context.chooser().timeouts(nowMs, choice, kind);
        mWatch = new AttemptIdleMonitor(nowMs, mTimeouts);
    }

    /** Returns how long opening the connection may take, in milliseconds. */
    final long connectMs() {
        return mTimeouts.connectMs();
    }

    /** Sends the request. */
    void send(HttpClient.Request request) {
        mContext.chooser().onStarted(mContext.clock().nowMs(), mChoice);
        HttpClient.Call call = mContext.client().send(request, this);
        mCall = call;
        if (mClosed) {
            call.cancel();
        }
        checkSilence(nowMs());
    }

    /** Fails the attempt if it was silent for too long; otherwise schedules the next check. */
    private void checkSilence(long nowMs) {
        if (ended()) {
            return;
        }
        long nextCheckMs = mWatch.nextCheckMs(nowMs, mContext.chooser().lastProgressMs(mChoice));
        if (nextCheckMs <= nowMs) {
            fail(AttemptOutcome.SILENT, "it sent nothing for too long");
            closeConnection();
        } else if (nextCheckMs < Long.MAX_VALUE) {
            mCancelSilenceCheck =
                    mContext.timers().schedule(nowMs, nextCheckMs, this::checkSilence);
            if (ended()) {
                mCancelSilenceCheck.run();
            }
        }
    }

    @Override
    public UpstreamId upstream() {
        return mChoice.upstream();
    }

    @Override
    public void cancel(long nowMs) {
        if (tryEnd(nowMs, AttemptOutcome.CANCELLED)) {
            closeConnection();
        }
    }

    @Override
    public void pause() {
        HttpClient.Call call = mCall;
        mWatch.onPaused();
        if (call != null) {
            call.pause();
        }
    }

    @Override
    public void resume() {
        HttpClient.Call call = mCall;
        mWatch.onResumed(nowMs());
        if (call != null) {
            call.resume();
        }
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        mStatus = status;
        mContentType = headers.getOrDefault("content-type", JSON);
        mLeaving = Boolean.parseBoolean(headers.get(UpstreamHeaders.LEAVING));
        if (mLeaving) {
            mContext.table()
                    .onLeaving(
                            nowMs(),
                            mChoice.upstream(),
                            LeavingEvidence.UPSTREAM_REPORT,
                            mChoice.incarnation());
        }
    }

    @Override
    public void onData(byte[] chunk) {
        recordPart();
        mBody.write(chunk, 0, chunk.length);
        if (mBody.size() > mContext.settings().maxAnswerBytes()) {
            fail(AttemptOutcome.UPSTREAM_ERROR, "the answer is too large");
            closeConnection();
        }
    }

    @Override
    public void onEnd() {
        recordFirstPart();
        long nowMs = nowMs();
        UpstreamAnswer answer = new UpstreamAnswer(mStatus, mContentType, mBody.toByteArray());
        AttemptOutcome outcome = outcomeOf(mStatus, mLeaving);
        if (outcome == AttemptOutcome.SUCCEEDED && tryEnd(nowMs, outcome)) {
            mListener.onFullAnswer(nowMs, mNumber, answer);
        } else if (outcome == AttemptOutcome.REJECTED && tryEnd(nowMs, outcome)) {
            mListener.onRejected(nowMs, mNumber, answer);
        } else {
            fail(outcome, "it answered with status " + mStatus);
        }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        fail(connectionLostOutcome(sent), reason);
    }

    /** Returns the outcome of an attempt whose connection was lost. */
    private AttemptOutcome connectionLostOutcome(boolean sent) {
        if (!sent) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        return mFirstPartSeen
                ? AttemptOutcome.BROKEN_IN_ANSWER
                : AttemptOutcome.BROKEN_BEFORE_ANSWER;
    }

    /** Returns the outcome of an attempt that was answered with an HTTP status. */
    AttemptOutcome outcomeOf(int status, boolean leaving) {
        if (status >= 200 && status < 300) {
            return AttemptOutcome.SUCCEEDED;
        }
        if (status == 503 && leaving) {
            return AttemptOutcome.REFUSED_LEAVING;
        }
        if (status == 503 || status == 429) {
            return AttemptOutcome.REFUSED_OVERLOADED;
        }
        return status >= 400 && status < 500
                ? AttemptOutcome.REJECTED
                : AttemptOutcome.UPSTREAM_ERROR;
    }

    /** Records the time to the first part of the answer, once. */
    final void recordFirstPart() {
        if (!mFirstPartSeen) {
            mFirstPartSeen = true;
            mContext.chooser().onFirstToken(nowMs(), mChoice);
        }
    }

    /** Records that a further part of the answer has arrived. */
    final void recordPart() {
        boolean first = !mFirstPartSeen;
        recordFirstPart();
        long nowMs = nowMs();
        long gapMs = mWatch.onPart(nowMs);
        if (first) {
            mCancelSilenceCheck.run();
            checkSilence(nowMs);
        }
        if (gapMs >= 0) {
            mContext.chooser().onProgress(nowMs, mChoice, gapMs);
        }
    }

    /**
     * Ends the attempt as failed and reports it to the flow, unless the attempt has already ended.
     */
    final void fail(AttemptOutcome outcome, String reason) {
        long nowMs = nowMs();
        if (tryEnd(nowMs, outcome)) {
            String message = "upstream " + mChoice.upstream() + ": " + reason;
            mListener.onFault(nowMs, mNumber, new AttemptFault(outcome, message));
        }
    }

    /** Ends the attempt and reports it to the chooser; returns false where it had already ended. */
    final boolean tryEnd(long nowMs, AttemptOutcome outcome) {
        if (!mEnded.compareAndSet(false, true)) {
            return false;
        }
        mContext.chooser().onEnded(nowMs, mChoice, outcome);
        mCancelSilenceCheck.run();
        return true;
    }

    /** Closes the connection, including one that is still being opened. */
    final void closeConnection() {
        mClosed = true;
        HttpClient.Call call = mCall;
        if (call != null) {
            call.cancel();
        }
    }

    final boolean ended() {
        return mEnded.get();
    }

    final int number() {
        return mNumber;
    }

    final int status() {
        return mStatus;
    }

    final long nowMs() {
        return mContext.clock().nowMs();
    }

    final AttemptListener listener() {
        return mListener;
    }

    final AttemptContext context() {
        return mContext;
    }
}
