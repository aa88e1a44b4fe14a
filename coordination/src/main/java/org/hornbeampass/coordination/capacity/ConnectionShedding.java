package org.hornbeampass.coordination.capacity;

/**
 * Decides which callers' connections are closed after an answer, so that callers that keep their
 * connections to an overloaded VM open choose a VM again.
 *
 * <p>Invariants: connections are closed only while the VM refuses requests, or did within {@link
 * #CALM_MS}, and while at least {@link #MIN_OTHER_VMS} other VMs are live; at most every fourth
 * answer closes its connection, and at most a tenth of the open connections and {@link #MAX_PER_S}
 * of them in each second. Confined to one thread.
 */
public final class ConnectionShedding {
    /** The fewest other live VMs; with fewer, all connections that are closed come to the same. */
    static final int MIN_OTHER_VMS = 2;

    /** The most connections that are closed in a second; each costs its caller a new one. */
    static final int MAX_PER_S = 20;

    /** How long a VM must refuse requests until connections are closed, in milliseconds. */
    static final long SUSTAINED_MS = 300;

    /** How long a VM must refuse no request until connections stay open, in milliseconds. */
    static final long CALM_MS = 1_500;

    /** How long after a refusal the VM still counts as refusing, in milliseconds. */
    private static final long REFUSING_MS = 250;

    private static final int ANSWERS_PER_CLOSE = 4;
    private static final double MAX_SHARE_PER_S = 0.1;
    private static final long SECOND_MS = 1_000;

    private long mRefusingSinceMs = -1;
    private long mLastRefusalMs = Long.MIN_VALUE / 2;
    private boolean mActive;
    private int mAnswers;
    private long mSecond;
    private int mClosedInSecond;

    /** Records that a request was refused because of the VM's backlog. */
    public void onRefusal(long nowMs) {
        if (mRefusingSinceMs < 0 || nowMs - mLastRefusalMs > REFUSING_MS) {
            mRefusingSinceMs = nowMs;
        }
        mLastRefusalMs = nowMs;
    }

    /**
     * Decides again whether connections are closed.
     *
     * @param otherVms the number of other live VMs
     */
    public boolean update(long nowMs, int otherVms) {
        long sinceRefusalMs = nowMs - mLastRefusalMs;
        boolean sustained =
                sinceRefusalMs <= REFUSING_MS && nowMs - mRefusingSinceMs >= SUSTAINED_MS;
        mActive = otherVms >= MIN_OTHER_VMS && (sustained || (mActive && sinceRefusalMs < CALM_MS));
        return mActive;
    }

    /**
     * Returns whether a connection is closed after its present answer.
     *
     * @param connections the open connections of callers
     */
    public boolean closes(long nowMs, int connections) {
        if (!mActive || ++mAnswers % ANSWERS_PER_CLOSE != 0) {
            return false;
        }
        if (nowMs / SECOND_MS != mSecond) {
            mSecond = nowMs / SECOND_MS;
            mClosedInSecond = 0;
        }
        double most = Math.min(MAX_PER_S, Math.max(1, MAX_SHARE_PER_S * connections));
        if (mClosedInSecond + 1 > most) {
            return false;
        }
        mClosedInSecond++;
        return true;
    }
}
