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
    private final HeldAnswer mHeld;
    private boolean mBegun;

    CallerAnswer(RelayCall call, RelayPlan plan) {
        mCall = call;
        mStream =
                new AnswerStream(
                        call.caller(),
                        plan.route().resumable(),
                        plan.head().lastEventId().orElse(-1));
        mHeld = new HeldAnswer(call);
    }

    /** Returns whether its head was written. */
    boolean begun() {
        return mBegun;
    }

    /** Returns whether the caller gets a stream, whose head was written. */
    boolean streaming() {
        return mBegun && !mHeld.started();
    }

    /** Begins a stream. */
    void startStream(HttpResponse head) {
        mBegun = true;
        mCall.sendHead(head);
    }

    /** Begins an answer in one piece. */
    void startHeld(HttpResponse head) {
        mHeld.start(head);
    }

    /** Takes a part; returns whether a stream goes on without gaps. */
    boolean take(ByteBuf part) {
        if (!streaming()) {
            mBegun |= mHeld.take(part);
            return true;
        }
        if (mCall.callerGone()) {
            part.release();
            return true;
        }
        mStream.take(part);
        return !mStream.hasGap();
    }

    /** Writes what is left of it; the end itself is the call's to write. */
    void end() {
        if (mHeld.started()) {
            mHeld.end();
        } else {
            mStream.end();
        }
    }

    /** Returns whether another upstream may answer instead, or go on with the stream. */
    boolean mayRestart() {
        return !mHeld.passedOn();
    }

    /** Drops what came of an answer that was lost. */
    void restart() {
        mHeld.reset();
        mStream.restart();
    }

    /** Drops what was not written. */
    void release() {
        mHeld.release();
        mStream.release();
    }

    /** Returns how many events of a stream were passed on. */
    long events() {
        return mStream.events();
    }

    /** Returns after which event of a stream another upstream would go on; -1 where none. */
    long lastId() {
        return mStream.lastId();
    }
}
