package org.hornbeampass.coordination.news;

/**
 * Decides whether this VM watches the platform itself or is kept up to date by another VM of its
 * failure domain, so that the calls to the platform do not grow with the number of VMs.
 *
 * <p>The VMs with the lowest ranks watch. Any other watches once it has heard from no watching VM
 * for a time that grows with its rank, so that few take over from one that has died, is cut off, or
 * is turned away by the platform. VMs that disagree about the ranks only make more calls. Confined
 * to one thread.
 */
final class WatchDuty {
    /** Interval between feeds, in milliseconds. */
    static final long FEED_INTERVAL_MS = 250;

    /**
     * Silence after which the first VM that does not watch begins to, in milliseconds: three feeds
     * are missing.
     */
    static final long SILENCE_MS = 800;

    /** Further silence for each rank, in milliseconds: a feed arrives within it. */
    private static final long RANK_DELAY_MS = 100;

    /** The longest silence, in milliseconds, however many VMs a failure domain has. */
    private static final long MAX_SILENCE_MS = 2_000;

    /** The shortest time for which a VM watches, in milliseconds. */
    private static final long MIN_WATCH_MS = 2_000;

    private long mStartedMs = Long.MAX_VALUE;
    private long mFedMs = Long.MIN_VALUE;
    private long mWatchingSinceMs;
    private boolean mWatching;

    /** Records a feed of a VM of this failure domain that is up to date. */
    void onFed(long nowMs) {
        mFedMs = Math.max(mFedMs, nowMs);
    }

    /** Returns whether this VM watches the platform itself. */
    boolean isWatching() {
        return mWatching;
    }

    /** Returns the time since the last feed or, before the first, since the start. */
    long silentForMs(long nowMs) {
        return Math.max(0, nowMs - Math.max(mFedMs, Math.min(mStartedMs, nowMs)));
    }

    /** Returns whether the feeds are late, so that this VM may be behind. */
    boolean isSilent(long nowMs) {
        return !mWatching && silentForMs(nowMs) >= SILENCE_MS;
    }

    /**
     * Decides again whether this VM watches.
     *
     * @param nowMs the present time in milliseconds
     * @param paths this VM's rank
     * @return whether it watches
     */
    boolean update(long nowMs, WatchPaths paths) {
        mStartedMs = Math.min(mStartedMs, nowMs);
        int place = paths.known() ? Math.max(0, paths.rank() - paths.watchers()) : 0;
        long allowedMs = Math.min(MAX_SILENCE_MS, SILENCE_MS + place * RANK_DELAY_MS);
        boolean needed = paths.isWatcher() || silentForMs(nowMs) >= allowedMs;
        boolean early = mWatching && nowMs - mWatchingSinceMs < MIN_WATCH_MS;
        boolean watching = needed || early;
        if (watching && !mWatching) {
            mWatchingSinceMs = nowMs;
        }
        mWatching = watching;
        return watching;
    }
}
