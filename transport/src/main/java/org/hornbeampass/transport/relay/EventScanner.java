package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;

/**
 * Finds the ends and the ids of server-sent events in a {@code text/event-stream} that arrives in
 * parts.
 *
 * <p>Invariants: an event is reported only once the empty line after it has been scanned; comments
 * alone are no event. Not thread-safe.
 */
public final class EventScanner {
    private static final String ID = "id:";
    private static final long NO_ID = -1;

    private long mEventId = NO_ID;
    private int mLineLength;
    private int mMatched;
    private boolean mReadingId;
    private boolean mEventHasLines;
    private boolean mComment;
    private long mEventBytes;

    /**
     * Receives the end of each event.
     *
     * <p>Called while the buffer is scanned; implementations must not change the buffer.
     */
    @FunctionalInterface
    public interface Sink {
        /**
         * An event has ended.
         *
         * @param endIndex the index in the buffer after the event's last byte
         * @param id the event's id; -1 if it has no numeric id
         */
        void onEvent(int endIndex, long id);
    }

    /**
     * Returns how many bytes of an event were scanned whose end has not been; 0 between events.
     * Comments belong to no event.
     */
    public long partialEventBytes() {
        return mComment ? mEventBytes : mEventBytes + mLineLength;
    }

    /** Scans all readable bytes of a buffer, without moving its reader index. */
    public void scan(ByteBuf part, Sink sink) {
        for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
            byte b = part.getByte(i);
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                onByte((char) (b & 0xFF));
                continue;
            }
            boolean endsEvent = mLineLength == 0 && mEventHasLines;
            mEventHasLines |= mLineLength > 0 && !mComment;
            countLine();
            startLine();
            if (endsEvent) {
                long id = mEventId;
                mEventId = NO_ID;
                mEventHasLines = false;
                sink.onEvent(i + 1, id);
            }
        }
    }

    private void countLine() {
        if (mLineLength == 0) {
            mEventBytes = 0;
        } else if (!mComment) {
            mEventBytes += mLineLength + 1;
        }
    }

    private void startLine() {
        mLineLength = 0;
        mComment = false;
        mMatched = 0;
        mReadingId = false;
    }

    private void onByte(char c) {
        mComment |= mLineLength == 0 && c == ':';
        if (mReadingId) {
            if (c >= '0' && c <= '9') {
                mEventId = Math.max(0, mEventId) * 10 + (c - '0');
            }
        } else if (mMatched == mLineLength && mMatched < ID.length() && c == ID.charAt(mMatched)) {
            mMatched++;
            mReadingId = mMatched == ID.length();
            if (mReadingId) {
                mEventId = NO_ID;
            }
        }
        mLineLength++;
    }
}
