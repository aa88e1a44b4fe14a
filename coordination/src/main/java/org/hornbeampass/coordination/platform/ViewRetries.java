package org.hornbeampass.coordination.platform;

import java.util.SplittableRandom;

/**
 * Decides when a view may make its next call, and tells for how long its calls have failed.
 *
 * <p>Invariant: the calls count as failing from the first that failed until one succeeded. Not
 * thread-safe.
 */
final class ViewRetries {
    private static final long NEVER = Long.MIN_VALUE;

    private final RetryPolicy mBackoff;
    private final SplittableRandom mRandom;
    private long mRetryAtMs = NEVER;
    private int mFailures;
    private long mFailingSinceMs = NEVER;
    private long mLastFailureMs = NEVER;

    /**
     * Creates the retries of a view that may call at once.
     *
     * @param backoff the backoff after failed calls
     * @param seed seeds the jitter of the backoff
     */
    ViewRetries(RetryPolicy backoff, long seed) {
        mBackoff = backoff;
        mRandom = new SplittableRandom(seed);
    }

    void onSuccess() {
        mFailures = 0;
        mFailingSinceMs = NEVER;
    }

    void onFailure(long nowMs) {
        mFailures++;
        mLastFailureMs = nowMs;
        if (mFailingSinceMs == NEVER) {
            mFailingSinceMs = nowMs;
        }
        backOff(nowMs, mFailures);
    }

    /** Puts the next call off as after one failure, though none failed. */
    void onOutdatedAnswer(long nowMs) {
        backOff(nowMs, 1);
    }

    private void backOff(long nowMs, int failures) {
        mRetryAtMs = nowMs + mBackoff.waitMs(failures, mRandom);
    }

    /** Puts the next call off by a time in milliseconds. */
    void pause(long nowMs, long ms) {
        mRetryAtMs = nowMs + ms;
    }

    /** Allows the next call at once. */
    void allow() {
        mRetryAtMs = NEVER;
    }

    boolean mayCall(long nowMs) {
        return nowMs >= mRetryAtMs;
    }

    /** Returns whether the last call has failed. */
    boolean isFailing() {
        return mFailures > 0;
    }

    /** Returns how long all calls have failed, in milliseconds; 0 if the last one succeeded. */
    long failingForMs(long nowMs) {
        return mFailingSinceMs == NEVER ? 0 : nowMs - mFailingSinceMs;
    }

    /** Returns whether a call failed within the last {@code ms} milliseconds. */
    boolean failedWithin(long nowMs, long ms) {
        return mLastFailureMs != NEVER && nowMs - mLastFailureMs < ms;
    }
}
