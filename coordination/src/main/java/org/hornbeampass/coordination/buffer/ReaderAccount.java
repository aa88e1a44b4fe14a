package org.hornbeampass.coordination.buffer;

/**
 * What is held for one reader, and since when the reader has taken nothing.
 *
 * <p>Invariant: counts in the sum of its {@link BufferLimit} exactly what it states. Confined to
 * one event loop.
 */
public final class ReaderAccount {
    private final BufferLimit mLimit;
    private final BufferReader mReader;
    private long mBytes;
    private long mProgressMs;
    private boolean mPaused;

    ReaderAccount(BufferLimit limit, BufferReader reader) {
        mLimit = limit;
        mReader = reader;
    }

    /**
     * States what is held now.
     *
     * @param nowMs the present time in milliseconds
     * @param bytes the bytes that are held
     * @param progressed whether the reader has taken bytes since the last call
     */
    public void update(long nowMs, long bytes, boolean progressed) {
        if (progressed || mBytes == 0) {
            mProgressMs = nowMs;
        }
        long before = mBytes;
        mBytes = bytes;
        mLimit.onChange(nowMs, this, before);
    }

    /** Returns the bytes that are held. */
    public long bytes() {
        return mBytes;
    }

    long stalledMs(long nowMs) {
        return nowMs - mProgressMs;
    }

    BufferReader reader() {
        return mReader;
    }

    boolean paused() {
        return mPaused;
    }

    void setPaused(boolean paused) {
        if (mPaused != paused) {
            mPaused = paused;
            mReader.setSenderPaused(paused);
        }
    }
}
