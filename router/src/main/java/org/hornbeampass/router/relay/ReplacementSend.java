package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.transport.UpstreamLimits;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.EventScanner;
import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * A send of a request to a second upstream while the first one is silent and may still go on.
 *
 * <p>The answer is held until it shows that it completes the request: a stream with an event that
 * the caller has not received, any other answer with its end or with more than is buffered of one.
 *
 * <p>Invariants: the caller receives nothing of the answer before it is taken over; what is held of
 * it is bounded; the listener is called at most once, and not after the send was cancelled or taken
 * over. Confined to one event loop.
 */
final class ReplacementSend implements UpstreamListener, UnframedAnswerCheck.Listener {
    /** Receives whether the answer can take the place of that of the silent upstream. */
    interface Listener {
        /** The answer can be forwarded from now on. */
        void onUsable(long nowMs);

        /** The send has ended, and its answer is of no use. */
        void onUnusable(long nowMs, String reason);
    }

    private final RelayPlan mPlan;
    private final CrashHistory mCrashes;
    private final UpstreamReports mReports;
    private final UpstreamLimits mLimits;
    private final CallerAnswer mAnswer;
    private final InFlightSend mSend;
    private final long mSentMs;
    private final Listener mListener;
    private final UnframedAnswerCheck mEndCheck;
    private final AnswerHold mHold;
    private final long mLastEventId;
    private final EventScanner mScanner = new EventScanner();
    private final List<ByteBuf> mParts = new ArrayList<>();
    private Optional<UpstreamConnection> mConnection;
    private Optional<HttpResponse> mHead = Optional.empty();
    private AnswerOutcome mOutcome = AnswerOutcome.UNRELATED;
    private Optional<UpstreamListener> mTarget = Optional.empty();
    private long mHeldBytes;
    private boolean mHasNewEvent;
    private boolean mOmitsEvents;
    private boolean mExceedsBound;
    private long mEventEndByte;
    private boolean mEnded;
    private boolean mClosed;

    /**
     * Creates the send; the connection must be started with it as its listener.
     *
     * @param context what all requests of the VM share
     * @param call the request
     * @param plan what was sent
     * @param crashes records connections that are lost
     * @param reports records what the answer's head tells about the upstream
     * @param answer what the caller has received so far
     * @param send the send
     * @param connection its connection
     * @param sentMs when the request was sent, in milliseconds
     * @param listener receives the result
     */
    ReplacementSend(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            CrashHistory crashes,
            UpstreamReports reports,
            CallerAnswer answer,
            InFlightSend send,
            UpstreamConnection connection,
            long sentMs,
            Listener listener) {
        mPlan = plan;
        mCrashes = crashes;
        mReports = reports;
        mLimits = context.pool().limits();
        mEndCheck = new UnframedAnswerCheck(context, call, crashes, this);
        mHold = new AnswerHold(context);
        mLastEventId = answer.lastEventId();
        mAnswer = answer;
        mSend = send;
        mConnection = Optional.of(connection);
        mSentMs = sentMs;
        mListener = listener;
    }

    InFlightSend send() {
        return mSend;
    }

    /** Returns when the request was sent, in milliseconds. */
    long sentMs() {
        return mSentMs;
    }

    /** Returns the connection, unless the answer has ended. */
    Optional<UpstreamConnection> connection() {
        return mConnection;
    }

    /** Returns the head of the answer, if it has arrived. */
    Optional<HttpResponse> head() {
        return mHead;
    }

    /** Returns how the upstream handled the request, if the head has arrived. */
    AnswerOutcome outcome() {
        return mOutcome;
    }

    /**
     * Passes on everything after the head from now on, first what was held. The user of this class
     * has taken the send over, and handles the head.
     *
     * @param nowMs the present time in milliseconds
     * @param target receives the rest of the answer
     * @param isFollowed returns whether the target has not left this send for another one
     */
    void forwardTo(long nowMs, UpstreamListener target, BooleanSupplier isFollowed) {
        mTarget = Optional.of(target);
        mClosed = true;
        mEndCheck.cancel();
        mHold.setBytes(0);
        List<ByteBuf> held = List.copyOf(mParts);
        mParts.clear();
        for (ByteBuf part : held) {
            if (isFollowed.getAsBoolean()) {
                target.onPart(nowMs, part);
            } else {
                part.release();
            }
        }
        if (!isFollowed.getAsBoolean()) {
            return;
        }
        if (mEnded) {
            target.onEnd(nowMs);
        } else if (!held.isEmpty()) {
            target.onReadComplete(nowMs);
        }
    }

    /** Ends the send; the listener is not called. */
    void cancel() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mEndCheck.cancel();
        mHold.setBytes(0);
        mParts.forEach(ByteBuf::release);
        mParts.clear();
        mConnection.ifPresent(UpstreamConnection::cancel);
        mSend.release();
    }

    private void end(long nowMs, String reason) {
        cancel();
        mListener.onUnusable(nowMs, reason);
    }

    /** Records that the upstream is silent, too. */
    void onSilent(long nowMs) {
        mSend.instance().onNoAnswer(nowMs);
    }

    /**
     * Handles a later start in the upstream's entry.
     *
     * @param nowMs the present time in milliseconds
     * @param usable whether events that are brought after that may follow those before
     */
    void onRestarted(long nowMs, boolean usable) {
        mCrashes.onSendDoubtful(nowMs, mSend);
        if (!usable) {
            end(nowMs, "the other upstream has restarted at another version");
        }
    }

    @Override
    public boolean onHead(long nowMs, HttpResponse head) {
        if (mTarget.isPresent()) {
            return mTarget.get().onHead(nowMs, head);
        }
        mOutcome = mReports.onHead(nowMs, mSentMs, mSend.instance(), head);
        if (mOutcome == AnswerOutcome.UNRELATED) {
            return false;
        }
        if (mOutcome == AnswerOutcome.NOT_RUN || mOutcome == AnswerOutcome.WRONG_UPSTREAM) {
            mReports.onNotRun(nowMs, mSend, mOutcome);
            end(nowMs, "the other upstream did not run the request");
        } else if (mOutcome == AnswerOutcome.SUCCEEDED) {
            onAccepted(nowMs, head);
        } else {
            mReports.onFailed(nowMs, mSend, head);
            end(nowMs, "the other upstream failed");
        }
        return true;
    }

    private void onAccepted(long nowMs, HttpResponse head) {
        mHead = Optional.of(head);
        if (isOfOtherKind()) {
            end(nowMs, "the other upstream does not go on with the stream");
        }
    }

    /** Returns whether the caller has the head of a stream, which this answer can't continue. */
    private boolean isOfOtherKind() {
        return mAnswer.headSent() && !isStream();
    }

    private boolean isStream() {
        return mPlan.isStream(mHead.orElseThrow(), mOutcome);
    }

    @Override
    public void onPart(long nowMs, ByteBuf part) {
        if (mTarget.isPresent()) {
            mTarget.get().onPart(nowMs, part);
            return;
        }
        if (mClosed) {
            part.release();
            return;
        }
        mParts.add(Unpooled.copiedBuffer(part));
        if (isStream()) {
            long offset = mHeldBytes - part.readerIndex();
            mScanner.scan(part, (end, id) -> onEvent(offset + end, id));
        }
        mHeldBytes += part.readableBytes();
        mHold.setBytes(mHeldBytes);
        part.release();
    }

    private void onEvent(long endByte, long id) {
        mExceedsBound |= !mHasNewEvent && endByte - mEventEndByte > mLimits.eventBytes();
        mEventEndByte = endByte;
        boolean numbered = id >= 0 && mLastEventId >= 0;
        mOmitsEvents |= !mHasNewEvent && numbered && id > mLastEventId + 1;
        mHasNewEvent |= !numbered || id > mLastEventId;
    }

    @Override
    public void onReadComplete(long nowMs) {
        if (mTarget.isPresent()) {
            mTarget.get().onReadComplete(nowMs);
        } else if (!mClosed && mHead.isPresent()) {
            decide(nowMs);
        }
    }

    private void decide(long nowMs) {
        Optional<String> defect = defect();
        if (defect.isPresent()) {
            end(nowMs, defect.get());
        } else if (mHasNewEvent || (!isStream() && mHeldBytes > mLimits.silentBytes())) {
            mListener.onUsable(nowMs);
        }
    }

    /** Returns why the answer can't be used, as far as it has arrived. */
    private Optional<String> defect() {
        if (isOfOtherKind() || !mAnswer.canRestart()) {
            return Optional.of("the other upstream does not go on with the answer");
        }
        if (mOmitsEvents) {
            return Optional.of("the other upstream omitted events of the stream");
        }
        boolean tooMuch = mHeldBytes > Math.max(mLimits.eventBytes(), mLimits.silentBytes());
        return mExceedsBound || (tooMuch && isStream() && !mHasNewEvent)
                ? Optional.of("the other upstream sent no event within its bounds")
                : Optional.empty();
    }

    @Override
    public void onEnd(long nowMs) {
        if (mTarget.isPresent()) {
            mTarget.get().onEnd(nowMs);
            return;
        }
        if (mClosed) {
            return;
        }
        mEnded = true;
        AnswerFraming framing = AnswerFraming.of(mPlan.request().method(), mHead.orElseThrow());
        Optional<String> defect = defect().or(() -> endDefect(framing));
        if (defect.isPresent()) {
            mConnection = Optional.empty();
            end(nowMs, defect.get());
        } else if (framing.isExplicit()) {
            mListener.onUsable(nowMs);
        } else {
            mEndCheck.start(nowMs, mSend, isStream());
        }
    }

    private Optional<String> endDefect(AnswerFraming framing) {
        boolean cut = mScanner.partialEventBytes() > 0;
        boolean empty = isStream() && !mHasNewEvent && !framing.isExplicit();
        return cut || empty
                ? Optional.of("the other upstream ended its answer too soon")
                : Optional.empty();
    }

    @Override
    public void onAnswerConfirmed(long nowMs) {
        mListener.onUsable(nowMs);
    }

    @Override
    public void onAnswerDoubtful(long nowMs, QuarantineStatus before) {
        mSend.instance().onNoAnswer(nowMs);
        end(nowMs, "the other upstream has ended with its connection");
    }

    @Override
    public void onBroken(long nowMs, String reason) {
        if (mTarget.isPresent()) {
            mTarget.get().onBroken(nowMs, reason);
        } else if (!mClosed) {
            mConnection = Optional.empty();
            mSend.instance().onNoAnswer(nowMs);
            var unused = mCrashes.onConnectionLost(nowMs, mSend.instance());
            end(nowMs, "the connection to the other upstream was lost: " + reason);
        }
    }

    @Override
    public void onClosedSlow(long nowMs, String reason) {
        if (mTarget.isPresent()) {
            mTarget.get().onClosedSlow(nowMs, reason);
        } else if (!mClosed) {
            mConnection = Optional.empty();
            mSend.instance().onNoAnswer(nowMs);
            end(nowMs, reason);
        }
    }

    @Override
    public void onUpstreamWritable(long nowMs) {
        mTarget.ifPresent(t -> t.onUpstreamWritable(nowMs));
    }
}
