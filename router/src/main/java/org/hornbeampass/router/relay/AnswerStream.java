package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;

import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.EventScanner;

/**
 * Passes a stream of events on and remembers how far the caller has got.
 *
 * <p>Invariants: where the stream can go on at another upstream only whole events are passed on,
 * each once and in order; otherwise bytes go on as they come. Confined to one event loop.
 */
final class AnswerStream {
    private static final long NONE = -1;

    private final CallerConnection mCaller;
    private final boolean mWholeEvents;
    private EventScanner mScanner = new EventScanner();
    private ByteBuf mTail = Unpooled.EMPTY_BUFFER;
    private long mEvents;
    private long mLastId = NONE;
    private boolean mGap;

    /**
     * Makes the stream of one answer.
     *
     * @param caller gets the events
     * @param wholeEvents whether only whole events are passed on
     * @param resumesAfter the last event that the caller had before; -1 where none
     */
    AnswerStream(CallerConnection caller, boolean wholeEvents, long resumesAfter) {
        mCaller = caller;
        mWholeEvents = wholeEvents;
        mLastId = resumesAfter;
    }

    /** Returns how many whole events were passed on. */
    long events() {
        return mEvents;
    }

    /** Returns the id of the last event that was passed on whole; -1 where there is none. */
    long lastId() {
        return mLastId;
    }

    /** Returns whether an upstream left events out, so that the stream can't go on. */
    boolean hasGap() {
        return mGap;
    }

    /** Forgets the part of an event that another upstream will send again. */
    void restart() {
        mTail.release();
        mTail = Unpooled.EMPTY_BUFFER;
        mScanner = new EventScanner();
    }

    /** Takes bytes of the answer; they are released. */
    void take(ByteBuf part) {
        if (!mWholeEvents) {
            mScanner.scan(part, (end, id) -> count(id));
            mCaller.sendPart(new DefaultHttpContent(part));
            return;
        }
        int before = mTail.readableBytes();
        ByteBuf whole = before == 0 ? part : Unpooled.wrappedBuffer(mTail, part);
        int offset = whole.readerIndex() + before - part.readerIndex();
        mScanner.scan(part.duplicate(), (end, id) -> passOn(whole, end + offset, id));
        mTail = Unpooled.copiedBuffer(whole);
        whole.release();
    }

    private void passOn(ByteBuf whole, int endIndex, long id) {
        int length = endIndex - whole.readerIndex();
        boolean repeated = id != NONE && id <= mLastId;
        mGap |= id != NONE && mLastId != NONE && id > mLastId + 1;
        if (repeated || mGap) {
            whole.skipBytes(length);
            return;
        }
        mCaller.sendPart(new DefaultHttpContent(whole.readRetainedSlice(length)));
        count(id);
    }

    private void count(long id) {
        mEvents++;
        if (id != NONE) {
            mLastId = id;
        }
    }

    /** Passes on what follows the last whole event, at the proper end of the answer. */
    void end() {
        if (mTail.isReadable()) {
            mCaller.sendPart(
                    new DefaultHttpContent(mTail.readRetainedSlice(mTail.readableBytes())));
        }
        release();
    }

    void release() {
        mTail.release();
        mTail = Unpooled.EMPTY_BUFFER;
    }
}
