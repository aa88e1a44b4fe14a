package org.hornbeampass.transport.http;

import io.netty.buffer.ByteBuf;

import java.util.Arrays;

/**
 * Collects one body within a bound.
 *
 * <p>Invariant: it never holds more than the bound, and never reserves much more than has arrived,
 * whatever length was announced. Not thread-safe: used on one event loop.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];
    private static final int MAX_FIRST_BYTES = 16 << 10;

    private final int mMaxBytes;
    private byte[] mBytes = EMPTY;
    private int mSize;

    BodyBuffer(int maxBytes, long announcedBytes) {
        mMaxBytes = maxBytes;
        if (announcedBytes > 0) {
            mBytes = new byte[(int) Math.min(announcedBytes, Math.min(maxBytes, MAX_FIRST_BYTES))];
        }
    }

    /** Adds a part and returns whether the body is still within its bound. */
    boolean add(ByteBuf part) {
        int length = part.readableBytes();
        if (length > mMaxBytes - mSize) {
            return false;
        }
        if (mSize + length > mBytes.length) {
            long doubled = Math.min(mMaxBytes, 2L * mBytes.length);
            mBytes = Arrays.copyOf(mBytes, (int) Math.max(mSize + length, doubled));
        }
        part.readBytes(mBytes, mSize, length);
        mSize += length;
        return true;
    }

    /** Returns the whole body; nothing may be added afterwards. */
    byte[] take() {
        return mSize == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mSize);
    }
}
