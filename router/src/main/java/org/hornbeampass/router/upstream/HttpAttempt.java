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
 * One attempt over HTTP: classifies its answer, tells the flow, and gives its place back.
 *
 * <p>Invariants: the chooser hears of its end exactly once, whether the upstream, the flow or the
 * connection ends it; after that the flow hears nothing more. An attempt that is silent for longer
 * than its {@link AttemptTimeouts} allow is cancelled and ends as a failure. Answers come on one
 * event loop, so their state needs no lock; {@link #cancel}, {@link #pause}, {@link #resume} and
 * the look after silence may run on any thread.
 */
class HttpAttempt implements Attempt, HttpClient.Listener {
    private static final String JSON = "application/json";

    private final AttemptContext mCalls;
    private final UpstreamChoice mChoice;
    private final int mNumber;
    private final AttemptListener mListener;
    private final AttemptTimeouts mTimeouts;
    private final AttemptIdleMonitor mWatch;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private volatile HttpClient.Call mCall;
    private volatile boolean mClosed;
    private volatile Runnable mLook = () -> {};
    private int mStatus;
    private String mContentType = JSON;
    private boolean mLeaving;
    private boolean mFirstSeen;

    HttpAttempt(
            AttemptContext calls,
            UpstreamChoice choice,
            int number,
            AttemptListener listener,
            AnswerKind kind) {
        mCalls = calls;
        mChoice = choice;
        mNumber = number;
        mListener = listener;
        long nowMs = calls.clock().nowMs();
        mTimeouts = calls.chooser().timeouts(nowMs, choice, kind);
        mWatch = new AttemptIdleMonitor(nowMs, mTimeouts);
    }

    /** Returns how long the connection may take, in milliseconds. */
    final long connectMs() {
        return mTimeouts.connectMs();
    }

    /** Sends the request. */
    void send(HttpClient.Request request) {
        mCalls.chooser().onStarted(mCalls.clock().nowMs(), mChoice);
        HttpClient.Call call = mCalls.client().send(request, this);
        mCall = call;
        if (mClosed) {
            call.cancel();
        }
        look(nowMs());
    }

    /** Gives the attempt up where it was silent for too long, and else looks again later. */
    private void look(long nowMs) {
        if (ended()) {
            return;
        }
        long nextMs = mWatch.nextCheckMs(nowMs, mCalls.chooser().lastProgressMs(mChoice));
        if (nextMs <= nowMs) {
            fault(AttemptOutcome.SILENT, "it was silent for too long");
            close();
        } else if (nextMs < Long.MAX_VALUE) {
            mLook = mCalls.timers().at(nowMs, nextMs, this::look);
            if (ended()) {
                mLook.run();
            }
        }
    }

    @Override
    public UpstreamId upstream() {
        return mChoice.upstream();
    }

    @Override
    public void cancel(long nowMs) {
        if (end(nowMs, AttemptOutcome.CANCELLED)) {
            close();
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
            mCalls.table()
                    .onLeaving(
                            nowMs(),
                            mChoice.upstream(),
                            LeavingEvidence.UPSTREAM_REPORT,
                            mChoice.incarnation());
        }
    }

    @Override
    public void onData(byte[] chunk) {
        notePart();
        mBody.write(chunk, 0, chunk.length);
        if (mBody.size() > mCalls.settings().maxAnswerBytes()) {
            fault(AttemptOutcome.UPSTREAM_ERROR, "its answer is too large");
            close();
        }
    }

    @Override
    public void onEnd() {
        noteFirst();
        long nowMs = nowMs();
        UpstreamAnswer answer = new UpstreamAnswer(mStatus, mContentType, mBody.toByteArray());
        AttemptOutcome outcome = outcome(mStatus, mLeaving);
        if (outcome == AttemptOutcome.SUCCEEDED && end(nowMs, outcome)) {
            mListener.onWhole(nowMs, mNumber, answer);
        } else if (outcome == AttemptOutcome.REJECTED && end(nowMs, outcome)) {
            mListener.onRejected(nowMs, mNumber, answer);
        } else {
            fault(outcome, "it answered with status " + mStatus);
        }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        fault(failure(sent), reason);
    }

    /** Returns how a lost connection ends the attempt. */
    private AttemptOutcome failure(boolean sent) {
        if (!sent) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        return mFirstSeen ? AttemptOutcome.BROKEN_IN_ANSWER : AttemptOutcome.BROKEN_BEFORE_ANSWER;
    }

    /** Returns how an answer of a status ends the attempt. */
    AttemptOutcome outcome(int status, boolean leaving) {
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

    /** Learns the time to the first part of an answer. */
    final void noteFirst() {
        if (!mFirstSeen) {
            mFirstSeen = true;
            mCalls.chooser().onFirstToken(nowMs(), mChoice);
        }
    }

    /** Learns that the answer goes on. */
    final void notePart() {
        boolean first = !mFirstSeen;
        noteFirst();
        long nowMs = nowMs();
        long gapMs = mWatch.onPart(nowMs);
        if (first) {
            mLook.run();
            look(nowMs);
        }
        if (gapMs >= 0) {
            mCalls.chooser().onProgress(nowMs, mChoice, gapMs);
        }
    }

    /** Ends the attempt as failed and tells the flow, unless it has ended before. */
    final void fault(AttemptOutcome outcome, String reason) {
        long nowMs = nowMs();
        if (end(nowMs, outcome)) {
            String what = "upstream " + mChoice.upstream() + ": " + reason;
            mListener.onFault(nowMs, mNumber, new AttemptFault(outcome, what));
        }
    }

    /** Ends the attempt and gives its place back; returns false where it has ended before. */
    final boolean end(long nowMs, AttemptOutcome outcome) {
        if (!mEnded.compareAndSet(false, true)) {
            return false;
        }
        mCalls.chooser().onEnded(nowMs, mChoice, outcome);
        mLook.run();
        return true;
    }

    /** Closes the connection, also one that is only being opened. */
    final void close() {
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
        return mCalls.clock().nowMs();
    }

    final AttemptListener listener() {
        return mListener;
    }

    final AttemptContext calls() {
        return mCalls;
    }
}
