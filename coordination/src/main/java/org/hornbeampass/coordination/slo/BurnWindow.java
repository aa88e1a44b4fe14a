package org.hornbeampass.coordination.slo;

/**
 * The time windows over which burn rates are computed.
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
    private final boolean mMinuteBuckets;

    BurnWindow(String label, long lengthMs, boolean minuteBuckets) {
        mLabel = label;
        mLengthMs = lengthMs;
        mMinuteBuckets = minuteBuckets;
    }

    /** Returns the name shown to operators. */
    public String label() {
        return mLabel;
    }

    /** Returns the length in milliseconds. */
    public long lengthMs() {
        return mLengthMs;
    }

    /** Returns whether the window is summed from one-minute buckets instead of half-hour ones. */
    boolean usesMinuteBuckets() {
        return mMinuteBuckets;
    }
}
