package org.hornbeampass.coordination.ratelimit;

/**
 * Counts the outcomes of the permits that one VM requested.
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

    /** Returns the number of permits granted. */
    public long granted() {
        return mGranted;
    }

    /** Returns the number of permits denied. */
    public long denied() {
        return mDenied;
    }

    /** Returns the number of requests that the home did not answer in time. */
    public long unanswered() {
        return mUnanswered;
    }

    /** Returns the number of permits used to send a request. */
    public long used() {
        return mUsed;
    }

    /** Returns the number of permits that expired before they were used. */
    public long expired() {
        return mExpired;
    }
}
