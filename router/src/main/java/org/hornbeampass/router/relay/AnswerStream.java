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
    private ByteBuf mPartialEvent = Unpooled.EMPTY_BUFFER;
    private long mEventCount;
    private long mLastEventId = NONE;
    private boolean mGap;

    /**
     * Makes the stream of one answer.
     *
     * @param caller gets the events
     * @param wholeEvents whether only whole events are passed on
     * @param lastEventId the last event that the caller had before; -1 where none
     */
    AnswerStream(CallerConnection caller, boolean wholeEvents, long lastEventId) {
        mCaller = caller;
        mWholeEvents = wholeEvents;
        mLastEventId = lastEventId;
    }

    /** Returns how many whole events were passed on. */
    long eventCount() {
        return mEventCount;
    }

    /** Returns the id of the last event that was passed on whole; -1 where there is none. */
    long lastEventId() {
        return mLastEventId;
    }

    /** Returns whether an upstream left events out, so that the stream can't go on. */
    boolean hasGap() {
        return mGap;
    }

    /** Forgets the part of an event that another upstream will send again. */
    void discardPartialEvent() {
        mPartialEvent.release();
        mPartialEvent = Unpooled.EMPTY_BUFFER;
        mScanner = new EventScanner();
    }

    /** Takes bytes of the answer; they are released. */
    void append(ByteBuf part) {
        if (!mWholeEvents) {
            mScanner.scan(part, (end, id) -> countEvent(id));
            mCaller.sendPart(new DefaultHttpContent(part));
            return;
        }
        int before = mPartialEvent.readableBytes();
        ByteBuf whole = before == 0 ? part : Unpooled.wrappedBuffer(mPartialEvent, part);
        int offset = whole.readerIndex() + before - part.readerIndex();
        mScanner.scan(part.duplicate(), (end, id) -> forward(whole, end + offset, id));
        mPartialEvent = Unpooled.copiedBuffer(whole);
        whole.release();
    }

    private void forward(ByteBuf whole, int endIndex, long id) {
        int length = endIndex - whole.readerIndex();
        boolean repeated = id != NONE && id <= mLastEventId;
        mGap |= id != NONE && mLastEventId != NONE && id > mLastEventId + 1;
        if (repeated || mGap) {
            whole.skipBytes(length);
            return;
        }
        mCaller.sendPart(new DefaultHttpContent(whole.readRetainedSlice(length)));
        countEvent(id);
    }

    private void countEvent(long id) {
        mEventCount++;
        if (id != NONE) {
            mLastEventId = id;
        }
    }

    /** Passes on what follows the last whole event, at the proper end of the answer. */
    void end() {
        if (mPartialEvent.isReadable()) {
            mCaller.sendPart(
                    new DefaultHttpContent(
                            mPartialEvent.readRetainedSlice(mPartialEvent.readableBytes())));
        }
        release();
    }

    void release() {
        mPartialEvent.release();
        mPartialEvent = Unpooled.EMPTY_BUFFER;
    }
}
