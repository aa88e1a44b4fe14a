package org.hornbeampass.coordination.slo;

/**
 * The windows over which burn rates are taken.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BurnWindow {
    M5("5m", 5 * 60_000L, true),
    M30("30m", 30 * 60_000L, true),
    H1("1h", 60 * 60_000L, true),
    H6("6h", 6 * 3_600_000L, false),
    D3("3d", 72 * 3_600_000L, false);

    private final String mLabel;
    private final long mLengthMs;
    private final boolean mFine;

    BurnWindow(String label, long lengthMs, boolean fine) {
        mLabel = label;
        mLengthMs = lengthMs;
        mFine = fine;
    }

    /** Returns the name for people. */
    public String label() {
        return mLabel;
    }

    /** Returns the length in milliseconds. */
    public long lengthMs() {
        return mLengthMs;
    }

    /** Returns whether the window is summed from one-minute buckets. */
    boolean usesMinuteBuckets() {
        return mFine;
    }
}
