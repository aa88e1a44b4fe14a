package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.PlatformCall.Kind;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the calls by kind and holds them to the platform's rates.
 *
 * <p>Each rate is a token bucket that holds one second's calls. Invariant: a throttled call takes
 * no token. Thread-safe: one lock guards all state.
 */
public final class CallMeter {
    private static final double MS_PER_SECOND = 1_000;

    private final Object mLock = new Object();
    private final Bucket mReads;
    private final Bucket mWrites;
    private final EnumMap<Kind, Count> mCounts = new EnumMap<>(Kind.class);

    /**
     * The calls of one kind since the start.
     *
     * @param calls the calls that arrived, throttled ones included
     * @param throttled the calls that were refused for the rate
     */
    public record Count(long calls, long throttled) {
        private Count plus(boolean admitted) {
            return new Count(calls + 1, throttled + (admitted ? 0 : 1));
        }
    }

    /** Creates a meter with full buckets. */
    public CallMeter(CallLimits limits) {
        mReads = new Bucket(limits.readsPerSecond());
        mWrites = new Bucket(limits.writesPerSecond());
        for (Kind kind : Kind.values()) {
            mCounts.put(kind, new Count(0, 0));
        }
    }

    /** Counts a call; returns whether it is within the rate. */
    public boolean admit(long nowMs, Kind kind) {
        synchronized (mLock) {
            Bucket bucket = kind == Kind.WRITE ? mWrites : mReads;
            boolean admitted = bucket.take(nowMs);
            mCounts.computeIfPresent(kind, (k, count) -> count.plus(admitted));
            return admitted;
        }
    }

    /** Returns the counts by kind. */
    public Map<Kind, Count> counts() {
        synchronized (mLock) {
            return Map.copyOf(mCounts);
        }
    }

    /** A token bucket that starts full; guarded by the meter's lock. */
    private static final class Bucket {
        private final int mPerSecond;
        private double mTokens;
        private long mFilledMs = Long.MIN_VALUE;

        Bucket(int perSecond) {
            mPerSecond = perSecond;
            mTokens = perSecond;
        }

        boolean take(long nowMs) {
            if (mFilledMs != Long.MIN_VALUE && nowMs > mFilledMs) {
                double refill = (nowMs - mFilledMs) * mPerSecond / MS_PER_SECOND;
                mTokens = Math.min(mPerSecond, mTokens + refill);
            }
            mFilledMs = Math.max(mFilledMs, nowMs);
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }
}
