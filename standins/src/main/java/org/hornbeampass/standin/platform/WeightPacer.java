package org.hornbeampass.standin.platform;

/**
 * Paces the weight store's downloads to one rate that all share.
 *
 * <p>Downloads ask chunk by chunk, and chunks pass one after the other, so that downloads at the
 * same time share the rate evenly. Thread-safe: one lock guards all state.
 */
public final class WeightPacer {
    private static final double US_PER_SECOND = 1_000_000;
    private static final long US_PER_MS = 1_000;

    private final Object mLock = new Object();
    private final double mBytesPerSecond;
    private double mFreeUs;

    /** Creates a pacer for a rate in bytes a second. */
    public WeightPacer(long bytesPerSecond) {
        if (bytesPerSecond < 1) {
            throw new IllegalArgumentException("the weight store's rate must be at least 1 B/s");
        }
        mBytesPerSecond = bytesPerSecond;
    }

    /**
     * Takes the place for a chunk.
     *
     * @param nowMs the present time in milliseconds
     * @param bytes the chunk's size
     * @return when the chunk has passed, in milliseconds
     */
    public long reserve(long nowMs, long bytes) {
        synchronized (mLock) {
            double startUs = Math.max(mFreeUs, (double) nowMs * US_PER_MS);
            mFreeUs = startUs + bytes * US_PER_SECOND / mBytesPerSecond;
            return (long) Math.ceil(mFreeUs / US_PER_MS);
        }
    }
}
