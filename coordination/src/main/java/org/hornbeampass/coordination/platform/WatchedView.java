package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * A view of the objects below a prefix that never goes back: lists, then watches, and lists anew
 * after a gap.
 *
 * <p>Invariants: for each key the versions shown only grow, a deletion counting as a version; a
 * listing that is older than what was already shown is discarded and asked for again. Until the
 * first listing is whole, the view is empty and {@link #ready} is false. In an outage the view
 * stays as it was. At most one call is open, a waiting watch included; the reply to one that was
 * given up is ignored.
 *
 * <p>Thread-safe: one lock guards the state; calls and the listener run without it. {@link #tick}
 * restarts what failed, with backoff.
 */
public final class WatchedView {
    private static final int PAGE_SIZE = 500;
    private static final RetryPolicy BACKOFF = new RetryPolicy(100, 10_000, Integer.MAX_VALUE);
    private static final long NEVER = Long.MIN_VALUE;

    /**
     * An answer of which nothing came for so long is not on its way any more, in milliseconds. On a
     * full link of 7 Mbit/s its parts come some hundred milliseconds apart.
     */
    private static final long RECEIVING_MS = 1_000;

    private final Platform mPlatform;
    private final String mPrefix;
    private final Duration mWatchTime;
    private final BiConsumer<Long, Change> mListener;
    private final RetryPolicy mBackoff;
    private final CatchUpMode mMissed;
    private final Object mLock = new Object();
    private final SplittableRandom mRandom;
    private final VersionedObjects mObjects = new VersionedObjects();
    private final List<StoredObject> mListing = new ArrayList<>();

    private boolean mReady;
    private boolean mOpen;
    private long mCallNumber;
    private Runnable mGiveUp = () -> {};
    private long mArrivedMs = NEVER;
    private boolean mStopped;
    private boolean mListNext = true;
    private long mListedFrom;
    private long mUpToVersion;
    private long mRetryAtMs = Long.MIN_VALUE;
    private int mFailures;
    private long mFailingSinceMs = NEVER;
    private long mFailedMs = NEVER;

    /**
     * Creates a view that starts with the first {@link #tick}.
     *
     * @param platform the platform that is watched
     * @param prefix the prefix that the keys share
     * @param watchTime how long one watch waits
     * @param seed seeds the jitter of the backoff
     * @param listener takes the time in milliseconds and each change of the view, in order
     */
    public WatchedView(
            Platform platform,
            String prefix,
            Duration watchTime,
            long seed,
            BiConsumer<Long, Change> listener) {
        this(platform, prefix, watchTime, BACKOFF, CatchUpMode.ALL_VERSIONS, seed, listener);
    }

    /**
     * Creates a view with a backoff and a way to catch up of its own.
     *
     * @param platform the platform that is watched
     * @param prefix the prefix that the keys share
     * @param watchTime how long one watch waits
     * @param backoff the waits after failed calls
     * @param missed what is read of the changes that were missed
     * @param seed seeds the jitter of the backoff
     * @param listener takes the time in milliseconds and each change of the view, in order
     */
    public WatchedView(
            Platform platform,
            String prefix,
            Duration watchTime,
            RetryPolicy backoff,
            CatchUpMode missed,
            long seed,
            BiConsumer<Long, Change> listener) {
        mPlatform = platform;
        mPrefix = prefix;
        mWatchTime = watchTime;
        mBackoff = backoff;
        mMissed = missed;
        mRandom = new SplittableRandom(seed);
        mListener = listener;
    }

    /** Returns whether a whole listing has been seen. */
    public boolean ready() {
        synchronized (mLock) {
            return mReady;
        }
    }

    /** Returns one object as last seen. */
    public Optional<StoredObject> get(String key) {
        synchronized (mLock) {
            return mObjects.get(key);
        }
    }

    /** Returns all objects as last seen, in the order of their keys. */
    public List<StoredObject> all() {
        synchronized (mLock) {
            return mObjects.all();
        }
    }

    /** Returns the store's version up to which this view is informed. */
    public long upToVersion() {
        synchronized (mLock) {
            return mUpToVersion;
        }
    }

    /** Returns for how long all calls have failed, in milliseconds; 0 where the last one worked. */
    public long failingForMs(long nowMs) {
        synchronized (mLock) {
            return mFailingSinceMs == NEVER ? 0 : nowMs - mFailingSinceMs;
        }
    }

    /** Returns whether a call failed within a time before now, in milliseconds. */
    public boolean failedWithin(long nowMs, long ms) {
        synchronized (mLock) {
            return mFailedMs != NEVER && nowMs - mFailedMs < ms;
        }
    }

    /** Returns whether the platform's answer to the open call is on its way, but not yet whole. */
    public boolean isReceiving(long nowMs) {
        synchronized (mLock) {
            return mOpen && mArrivedMs != NEVER && nowMs - mArrivedMs < RECEIVING_MS;
        }
    }

    /**
     * Takes what another VM has seen; ignored unless it is newer than this view.
     *
     * @param nowMs the present time in milliseconds
     * @param keys the keys of all objects below the prefix
     * @param newer the objects that changed since this view's version, or more
     * @param storeVersion the store's version up to which the other VM is informed
     */
    public void mergePeerState(
            long nowMs, Set<String> keys, List<StoredObject> newer, long storeVersion) {
        List<Change> shown = new ArrayList<>();
        synchronized (mLock) {
            if (mStopped || storeVersion <= mUpToVersion) {
                return;
            }
            mObjects.removeAllBut(keys, storeVersion, shown);
            newer.forEach(o -> mObjects.apply(o, shown));
            mUpToVersion = storeVersion;
            mReady = true;
            if (!mOpen && !mMissed.listsAfterFailure()) {
                mListNext = false;
                mListing.clear();
            }
        }
        shown.forEach(c -> mListener.accept(nowMs, c));
    }

    /**
     * Gives up a watch of which nothing has come, and lists anew: for a view that is known to be
     * behind. Does nothing where an answer is on its way, or where calls fail and are repeated.
     *
     * @param nowMs the present time in milliseconds
     */
    public void relist(long nowMs) {
        replaceWatch(nowMs, true);
    }

    /**
     * Gives up a watch of which nothing has come, and watches again from the same version: for a
     * watch whose answer may be lost. Does nothing where no watch waits.
     *
     * @param nowMs the present time in milliseconds
     */
    public void restartWatch(long nowMs) {
        replaceWatch(nowMs, false);
    }

    private void replaceWatch(long nowMs, boolean lists) {
        Runnable giveUp;
        synchronized (mLock) {
            if (mStopped || !mOpen || mListNext || isReceiving(nowMs)) {
                return;
            }
            mOpen = false;
            mCallNumber++;
            giveUp = mGiveUp;
            if (lists) {
                listAnew();
            }
        }
        giveUp.run();
        tick(nowMs);
    }

    /** Stops: no further call is made, and replies still to come are ignored. */
    public void stop() {
        synchronized (mLock) {
            mStopped = true;
        }
    }

    /**
     * Starts the next call where none is open and no backoff is due to end later.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        PlatformCall call;
        long number;
        synchronized (mLock) {
            if (mStopped || mOpen || nowMs < mRetryAtMs) {
                return;
            }
            mOpen = true;
            mArrivedMs = NEVER;
            number = ++mCallNumber;
            call = nextCall();
        }
        Runnable giveUp =
                mPlatform.submit(
                        nowMs,
                        call,
                        (atMs, bytes) -> arriving(atMs, number),
                        (atMs, reply) -> replied(atMs, number, reply));
        synchronized (mLock) {
            if (number == mCallNumber) {
                mGiveUp = giveUp;
            }
        }
    }

    private void arriving(long nowMs, long number) {
        synchronized (mLock) {
            if (number == mCallNumber) {
                mArrivedMs = nowMs;
            }
        }
    }

    private PlatformCall nextCall() {
        if (!mListNext) {
            return new PlatformCall.Watch(mPrefix, mUpToVersion, mWatchTime);
        }
        String after = mListing.isEmpty() ? "" : mListing.get(mListing.size() - 1).key();
        return new PlatformCall.ListObjects(mPrefix, after, PAGE_SIZE);
    }

    private void replied(long nowMs, long number, PlatformReply reply) {
        List<Change> shown = new ArrayList<>();
        boolean again;
        synchronized (mLock) {
            if (mStopped || number != mCallNumber) {
                return;
            }
            mOpen = false;
            if (answered(reply)) {
                mFailingSinceMs = NEVER;
            }
            again = accept(nowMs, reply, shown);
        }
        shown.forEach(c -> mListener.accept(nowMs, c));
        if (again) {
            tick(nowMs);
        }
    }

    /** Takes a reply in; returns whether the next call may be made at once. */
    private boolean accept(long nowMs, PlatformReply reply, List<Change> shown) {
        if (reply instanceof PlatformReply.Listed listed && mListNext) {
            mFailures = 0;
            return listed(nowMs, listed, shown);
        }
        if (reply instanceof PlatformReply.Changed changed) {
            mFailures = 0;
            List<Change> changes = mMissed.shown(changed.changes());
            changes.forEach(c -> mObjects.apply(c, shown));
            boolean behind = changes.size() < changed.changes().size();
            if (behind) {
                listAnew(); // More versions may have come while these were on their way.
            }
            mUpToVersion = Math.max(mUpToVersion, changed.upToVersion());
            mObjects.forgetDeletions(mUpToVersion);
            return true;
        }
        if (reply instanceof PlatformReply.WatchGap) {
            listAnew();
            return true;
        }
        mFailures++;
        mFailedMs = nowMs;
        if (mFailingSinceMs == NEVER) {
            mFailingSinceMs = nowMs;
        }
        mRetryAtMs = nowMs + mBackoff.waitMs(mFailures, mRandom);
        if (mMissed.listsAfterFailure()) {
            listAnew();
        }
        return false;
    }

    private boolean listed(long nowMs, PlatformReply.Listed page, List<Change> shown) {
        if (page.storeVersion() < mUpToVersion) {
            listAnew();
            mRetryAtMs = nowMs + mBackoff.waitMs(1, mRandom);
            return false;
        }
        if (mListing.isEmpty()) {
            mListedFrom = page.storeVersion();
        }
        mListing.addAll(page.objects());
        if (page.more()) {
            return true;
        }
        completeListing(shown);
        return true;
    }

    private void completeListing(List<Change> shown) {
        Set<String> listed = mListing.stream().map(StoredObject::key).collect(Collectors.toSet());
        mObjects.removeAllBut(listed, mListedFrom, shown);
        mListing.forEach(o -> mObjects.apply(o, shown));
        mUpToVersion = Math.max(mUpToVersion, mListedFrom);
        mReady = true;
        mListNext = false;
        mListing.clear();
    }

    private static boolean answered(PlatformReply reply) {
        return reply instanceof PlatformReply.Listed || reply instanceof PlatformReply.Changed;
    }

    private void listAnew() {
        mListNext = true;
        mListing.clear();
    }
}
