package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What the caller of one request gets: a stream as it comes, or an answer in one piece once it is
 * whole.
 *
 * <p>Invariant: its head is written once; from then on no failure can be answered. Confined to one
 * event loop.
 */
final class CallerAnswer {
    private final RelayCall mCall;
    private final AnswerStream mStream;
    private final BufferedAnswer mBuffered;
    private boolean mHeadSent;

    CallerAnswer(RelayCall call, RelayPlan plan) {
        mCall = call;
        mStream =
                new AnswerStream(
                        call.caller(),
                        plan.route().resumable(),
                        plan.head().lastEventId().orElse(-1));
        mBuffered = new BufferedAnswer(call);
    }

    /** Returns whether its head was written. */
    boolean headSent() {
        return mHeadSent;
    }

    /** Returns whether the caller gets a stream, whose head was written. */
    boolean streaming() {
        return mHeadSent && !mBuffered.started();
    }

    /** Begins a stream. */
    void startStream(HttpResponse head) {
        mHeadSent = true;
        mCall.sendHead(head);
    }

    /** Begins an answer in one piece. */
    void startBuffered(HttpResponse head) {
        mBuffered.start(head);
    }

    /** Takes a part; returns whether a stream goes on without gaps. */
    boolean append(ByteBuf part) {
        if (!streaming()) {
            mHeadSent |= mBuffered.append(part);
            return true;
        }
        if (mCall.callerGone()) {
            part.release();
            return true;
        }
        mStream.append(part);
        return !mStream.hasGap();
    }

    /** Writes what is left of it; the end itself is the call's to write. */
    void end() {
        if (mBuffered.started()) {
            mBuffered.end();
        } else {
            mStream.end();
        }
    }

    /** Returns whether another upstream may answer instead, or go on with the stream. */
    boolean canRestart() {
        return !mBuffered.forwarded();
    }

    /** Drops what came of an answer that was lost. */
    void discardUnsent() {
        mBuffered.reset();
        mStream.discardPartialEvent();
    }

    /** Drops what was not written. */
    void release() {
        mBuffered.release();
        mStream.release();
    }

    /** Returns how many events of a stream were passed on. */
    long eventCount() {
        return mStream.eventCount();
    }

    /** Returns after which event of a stream another upstream would go on; -1 where none. */
    long lastEventId() {
        return mStream.lastEventId();
    }
}
