package org.hornbeampass.coordination.ratelimit;

/**
 * Counts what became of the permits for which one VM asked.
 *
 * <p>Confined to one thread.
 */
public final class PermitCounts {
    private long mGranted;
    private long mDenied;
    private long mUnanswered;
    private long mUsed;
    private long mExpired;

    void onGranted() {
        mGranted++;
    }

    void onDenied() {
        mDenied++;
    }

    void onUnanswered() {
        mUnanswered++;
    }

    void onUsed() {
        mUsed++;
    }

    void onExpired() {
        mExpired++;
    }

    /** Returns how many were granted. */
    public long granted() {
        return mGranted;
    }

    /** Returns how many were denied. */
    public long denied() {
        return mDenied;
    }

    /** Returns how often the home did not answer in time. */
    public long unanswered() {
        return mUnanswered;
    }

    /** Returns how many were used by a request. */
    public long used() {
        return mUsed;
    }

    /** Returns how many were granted and not used in time. */
    public long expired() {
        return mExpired;
    }
}
