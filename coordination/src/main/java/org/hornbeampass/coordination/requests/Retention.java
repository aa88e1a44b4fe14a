package org.hornbeampass.coordination.requests;

/**
 * How long the request log remembers ids; the same on all VMs.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param retryMs for how long after its first attempt a caller may retry an id, in milliseconds
 * @param lateMs how long after its admission a bill or claim may reach the log, in milliseconds of
 *     active time
 * @param skewMs the largest difference between the clocks of two VMs, in milliseconds; if it is
 *     exceeded, a retry whose bill comes late may be billed again
 * @param maxUndatedBytes how many bytes of claims a shard stores permanently for keys without a
 *     timestamp
 * @param maxRepeats after how many duplicates of a request the VMs that know of them no longer run
 *     it
 */
public record Retention(
        long retryMs, long lateMs, long skewMs, long maxUndatedBytes, int maxRepeats) {
    /** The number of generations of remembered bills besides the open one. */
    static final int GENERATIONS = 8;

    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long STANDARD_UNDATED_BYTES = 16L << 20;
    private static final int STANDARD_REPEATS = 3;

    /** Checks that each component is positive; the clock skew may be 0. */
    public Retention {
        boolean positive =
                retryMs > 0 && lateMs > 0 && skewMs >= 0 && maxUndatedBytes > 0 && maxRepeats > 0;
        if (!positive) {
            throw new IllegalArgumentException("retention must be positive");
        }
    }

    /** Returns the default: one hour for retries and one more for late bills. */
    public static Retention standard() {
        return new Retention(HOUR_MS, HOUR_MS, MINUTE_MS, STANDARD_UNDATED_BYTES, STANDARD_REPEATS);
    }

    /** Returns for how long the id of a bill is remembered, in milliseconds of active time. */
    long retentionMs() {
        return retryMs + lateMs + skewMs;
    }

    /** Returns the length of one generation, in milliseconds of active time. */
    long generationMs() {
        return Math.max(1, retentionMs() / GENERATIONS);
    }
}
