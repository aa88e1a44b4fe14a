package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;

import org.hornbeampass.transport.UpstreamLimits;
import org.hornbeampass.transport.relay.AnswerFraming;

import java.util.Optional;

/**
 * The answer to the caller of one request: a stream that is forwarded as it arrives, or an answer
 * that is buffered until it is whole.
 *
 * <p>Invariant: the head of the answer is written once; after that, no failure can be answered.
 * Confined to one event loop.
 */
final class CallerAnswer {
    private final RelayCall mCall;
    private final boolean mResumable;
    private final AnswerStream mStream;
    private final BufferedAnswer mBuffered;
    private final AnswerHold mHold;
    private boolean mHeadSent;

    CallerAnswer(RelayContext context, RelayCall call, RelayPlan plan, UpstreamLimits limits) {
        mCall = call;
        mResumable = plan.route().resumable();
        mStream =
                new AnswerStream(
                        call.caller(), mResumable, limits, plan.head().lastEventId().orElse(-1));
        mBuffered = new BufferedAnswer(call);
        mHold = new AnswerHold(context);
    }

    /** Returns whether the head of the answer was written. */
    boolean headSent() {
        return mHeadSent;
    }

    /** Returns whether the answer is a stream whose head was written. */
    boolean streaming() {
        return mHeadSent && !mBuffered.started();
    }

    /** Starts a stream and writes its head. */
    void startStream(HttpResponse head) {
        mHeadSent = true;
        if (mResumable) {
            // The length was stated by an upstream that may not be the one to end the stream.
            head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        mCall.sendHead(head);
    }

    /** Starts an answer that is buffered until it is whole. */
    void startBuffered(HttpResponse head) {
        mBuffered.start(head);
    }

    /** Adds a part of the answer; returns false where events are missing from the stream. */
    boolean append(ByteBuf part) {
        if (!streaming()) {
            mHeadSent |= mBuffered.append(part);
            mHold.setBytes(mBuffered.bufferedBytes());
            return true;
        }
        if (mCall.callerGone()) {
            part.release();
            return true;
        }
        mStream.append(part);
        mHold.setBytes(mStream.bufferedBytes());
        return !mStream.hasGap();
    }

    /** Returns which bound a stream exceeds, so that it must not be continued; empty if none. */
    Optional<String> exceededBound() {
        return mStream.exceededBound();
    }

    /**
     * Returns why an answer that an upstream has ended can't be complete; empty where it may be.
     *
     * @param framing how the upstream marked the end
     */
    Optional<String> defect(AnswerFraming framing) {
        return streaming() ? mStream.defect(framing) : Optional.empty();
    }

    /** Writes the rest of a complete answer; the user of this class must then end it. */
    void end() {
        if (mBuffered.started()) {
            mBuffered.end();
        } else {
            mStream.end();
        }
        mHold.setBytes(0);
    }

    /** Returns whether another upstream may answer instead, or continue the stream. */
    boolean canRestart() {
        return !mBuffered.forwarded();
    }

    /** Discards the part of a lost answer that was not forwarded. */
    void discardUnsent() {
        mBuffered.reset();
        mStream.discardUnsent();
        mHold.setBytes(0);
    }

    /** Releases everything that was not written. */
    void release() {
        mBuffered.release();
        mStream.release();
        mHold.setBytes(0);
    }

    /** Returns how many events of a stream were forwarded. */
    long eventCount() {
        return mStream.eventCount();
    }

    /** Returns how many bytes of a stream were received of an event that has not ended. */
    long partialEventBytes() {
        return mStream.partialEventBytes();
    }

    /**
     * Returns the id of the event after which another upstream would resume the stream; -1 for
     * none.
     */
    long lastEventId() {
        return mStream.lastEventId();
    }
}
