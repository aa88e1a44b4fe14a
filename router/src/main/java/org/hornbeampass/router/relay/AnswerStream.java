package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;

import org.hornbeampass.transport.UpstreamLimits;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.EventScanner;

import java.util.Optional;

/**
 * Forwards a stream of events to the caller and remembers the last event that the caller received.
 *
 * <p>Invariants: only whole events are forwarded, with the comments before them; where the stream
 * can be resumed at another upstream, each once and in order. No event that exceeds its bound is
 * forwarded, nor anything that follows the last event before a bound. Confined to one event loop.
 */
final class AnswerStream {
    private static final long NONE = -1;

    private final CallerConnection mCaller;
    private final boolean mResumable;
    private final UpstreamLimits mLimits;
    private EventScanner mScanner = new EventScanner();
    private ByteBuf mPartialEvent = Unpooled.EMPTY_BUFFER;
    private long mEventCount;
    private long mLastEventId = NONE;
    private long mSilentBytes;
    private boolean mGap;
    private boolean mEventTooLarge;

    /**
     * Creates the stream of one answer.
     *
     * @param caller receives the events
     * @param resumable whether the stream can be resumed at another upstream
     * @param limits bound one event, and what comes between two
     * @param lastEventId the id of the last event that the caller had received before; -1 for none
     */
    AnswerStream(
            CallerConnection caller, boolean resumable, UpstreamLimits limits, long lastEventId) {
        mCaller = caller;
        mResumable = resumable;
        mLimits = limits;
        mLastEventId = lastEventId;
    }

    /** Returns how many whole events were forwarded. */
    long eventCount() {
        return mEventCount;
    }

    /** Returns the id of the last event that was forwarded whole; -1 where there is none. */
    long lastEventId() {
        return mLastEventId;
    }

    /** Returns how many bytes were received of an event that has not ended. */
    long partialEventBytes() {
        return mScanner.partialEventBytes();
    }

    /** Returns how many bytes are buffered that were not forwarded. */
    long bufferedBytes() {
        return mPartialEvent.readableBytes();
    }

    /** Returns whether the upstream omitted events, so that it can't continue the stream. */
    boolean hasGap() {
        return mGap;
    }

    /**
     * Returns why a stream that an upstream has ended can't be complete; empty where it may be.
     *
     * @param framing how the upstream marked the end
     */
    Optional<String> defect(AnswerFraming framing) {
        if (partialEventBytes() > 0) {
            return Optional.of("the stream ended inside an event");
        }
        boolean empty = mEventCount == 0 && mLastEventId == NONE;
        return empty && !framing.isExplicit()
                ? Optional.of("the connection was closed before the first event")
                : Optional.empty();
    }

    /** Discards what was not forwarded, which the next upstream will send again. */
    void discardUnsent() {
        mPartialEvent.release();
        mPartialEvent = Unpooled.EMPTY_BUFFER;
        mScanner = new EventScanner();
        mSilentBytes = 0;
        mEventTooLarge = false;
        mGap = false;
    }

    /** Returns which bound the stream exceeds, which must not be continued then; empty if none. */
    Optional<String> exceededBound() {
        if (mEventTooLarge || partialEventBytes() > mLimits.eventBytes()) {
            return Optional.of("an event has more than event_bytes = " + mLimits.eventBytes());
        }
        return mSilentBytes > mLimits.silentBytes()
                ? Optional.of("no event ended in silent_bytes = " + mLimits.silentBytes())
                : Optional.empty();
    }

    /** Forwards what can be forwarded of the next bytes of the answer and releases them. */
    void append(ByteBuf part) {
        mSilentBytes += part.readableBytes();
        int before = mPartialEvent.readableBytes();
        ByteBuf whole = before == 0 ? part : Unpooled.wrappedBuffer(mPartialEvent, part);
        int offset = whole.readerIndex() + before - part.readerIndex();
        mScanner.scan(part.duplicate(), (end, id) -> forward(whole, end + offset, id));
        mPartialEvent = Unpooled.copiedBuffer(whole);
        whole.release();
    }

    private void forward(ByteBuf whole, int endIndex, long id) {
        int length = endIndex - whole.readerIndex();
        boolean numbered = mResumable && id != NONE;
        boolean repeated = numbered && id <= mLastEventId;
        mGap |= numbered && mLastEventId != NONE && id > mLastEventId + 1;
        mEventTooLarge |= length > mLimits.eventBytes();
        if (repeated || mGap || mEventTooLarge) {
            whole.skipBytes(length);
            return;
        }
        mCaller.sendPart(new DefaultHttpContent(whole.readRetainedSlice(length)));
        mSilentBytes = whole.readableBytes();
        mEventCount++;
        if (id != NONE) {
            mLastEventId = id;
        }
    }

    /** Forwards the empty lines and comments after the last event of a complete stream. */
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
