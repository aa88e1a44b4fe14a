package org.hornbeampass.protocol.openai;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events into the data of each event.
 *
 * <p>Accepts lines ended by LF, CR LF or CR, joins the data lines of one event with LF, and ignores
 * comments and other fields. Invariant: an event is only given once its closing empty line has
 * come, so a stream that breaks inside an event gives nothing of it. Not thread-safe.
 */
public final class SseReader {
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};

    private final int mMaxEventBytes;
    private final Consumer<byte[]> mEvents;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(512);
    private final ByteArrayOutputStream mData = new ByteArrayOutputStream(512);
    private boolean mHasData;
    private boolean mAfterCr;

    /**
     * Makes a reader.
     *
     * @param maxEventBytes the largest event in bytes
     * @param events takes the data of each event
     */
    public SseReader(int maxEventBytes, Consumer<byte[]> events) {
        mMaxEventBytes = maxEventBytes;
        mEvents = events;
    }

    /**
     * Takes the next part of the stream.
     *
     * @return false where an event is too large; the stream is then not to be read on
     */
    public boolean read(byte[] part) {
        int from = 0;
        for (int i = 0; i < part.length; i++) {
            byte b = part[i];
            if (b != '\n' && b != '\r') {
                mAfterCr = false;
                continue;
            }
            mLine.write(part, from, i - from);
            from = i + 1;
            if (b == '\n' && mAfterCr) {
                mAfterCr = false;
                continue;
            }
            mAfterCr = b == '\r';
            endLine();
        }
        mLine.write(part, from, part.length - from);
        return mLine.size() + mData.size() <= mMaxEventBytes;
    }

    private void endLine() {
        byte[] line = mLine.toByteArray();
        mLine.reset();
        if (line.length == 0) {
            endEvent();
            return;
        }
        if (!startsWithData(line)) {
            return;
        }
        int start = DATA.length;
        if (start < line.length && line[start] == ' ') {
            start++;
        }
        if (mHasData) {
            mData.write('\n');
        }
        mData.write(line, start, line.length - start);
        mHasData = true;
    }

    private void endEvent() {
        if (mHasData) {
            byte[] data = mData.toByteArray();
            mData.reset();
            mHasData = false;
            mEvents.accept(data);
        }
    }

    private static boolean startsWithData(byte[] line) {
        return line.length >= DATA.length
                && Arrays.equals(line, 0, DATA.length, DATA, 0, DATA.length);
    }
}
