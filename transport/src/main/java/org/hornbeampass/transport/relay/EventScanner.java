package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;

/**
 * Finds the ends and the ids of events in a stream of {@code text/event-stream}.
 *
 * <p>Invariant: an event counts once the empty line after it has been seen. Not thread-safe.
 */
public final class EventScanner {
    private static final String ID = "id:";
    private static final long NO_ID = -1;

    private long mEventId = NO_ID;
    private int mLineLength;
    private int mMatched;
    private boolean mReadingId;
    private boolean mAnyLine;

    /**
     * Takes the end of one event.
     *
     * <p>Implementations run while the buffer is scanned and must not change it.
     */
    @FunctionalInterface
    public interface Sink {
        /**
         * An event has ended.
         *
         * @param endIndex the index in the buffer after its last byte
         * @param id its id; -1 where it has none
         */
        void onEvent(int endIndex, long id);
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
            boolean endsEvent = mLineLength == 0 && mAnyLine;
            mAnyLine |= mLineLength > 0;
            startLine();
            if (endsEvent) {
                long id = mEventId;
                mEventId = NO_ID;
                mAnyLine = false;
                sink.onEvent(i + 1, id);
            }
        }
    }

    private void startLine() {
        mLineLength = 0;
        mMatched = 0;
        mReadingId = false;
    }

    private void onByte(char c) {
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
