package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * A view of the objects below a prefix: lists them, then watches for changes, and lists again after
 * a gap. The view never returns to an older state of an object.
 *
 * <p>Invariants: for each key the reported versions only increase; a deletion counts as a version.
 * A listing that is older than what was already reported is discarded and requested again, as is
 * one whose pages lead to no end; the view counts as failing until one is complete. A listing in a
 * later era, after the store was restored, is newer than any of an earlier one. Until the first
 * listing is complete, the view is empty and {@link #ready} is false. During an outage the view
 * keeps its last state. At most one call is in progress, including a watch; the reply to a
 * cancelled call is ignored. A suspended view that is complete makes no calls.
 *
 * <p>Thread-safe: one lock guards the state; calls and the listener run without it. {@link #tick}
 * retries failed calls with backoff.
 */
public final class WatchedView {
    private static final int PAGE_SIZE = 500;
    private static final RetryPolicy BACKOFF = new RetryPolicy(100, 10_000, Integer.MAX_VALUE);
    private static final long NEVER = Long.MIN_VALUE;

    /**
     * The longest gap between two parts of an answer that is still being received, in milliseconds.
     * On a saturated link of 7 Mbit/s parts arrive some hundred milliseconds apart.
     */
    private static final long MAX_RECEIVE_GAP_MS = 1_000;

    /**
     * How long the first watch after a failed call waits. A store that was restored meanwhile may
     * have given out the view's revision again, and states its era only when it answers.
     */
    private static final Duration ERA_CHECK_TIME = Duration.ofMillis(1);

    private final Platform mPlatform;
    private final String mPrefix;
    private final Duration mWatchTime;
    private final BiConsumer<Long, Change> mListener;
    private final CatchUpMode mCatchUpMode;
    private final long mGatherMs;
    private final Object mLock = new Object();
    private final ViewRetries mRetries;
    private final VersionedObjects mObjects = new VersionedObjects();
    private final PagedListing mListing;

    private LongConsumer mListingStuckListener = nowMs -> {};
    private BiConsumer<Long, Change> mConfirmationListener = (nowMs, change) -> {};
    private boolean mReady;
    private boolean mSuspended;
    private boolean mCallInProgress;
    private long mCallNumber;
    private Runnable mCancelCall = () -> {};
    private long mLastBytesMs = NEVER;
    private boolean mStopped;
    private boolean mListNext = true;
    private long mUpToVersion;

    /**
     * Creates a view that starts with the first {@link #tick}.
     *
     * @param platform the platform that is watched
     * @param prefix the prefix that the keys share
     * @param watchTime how long one watch waits
     * @param seed seeds the jitter of the backoff
     * @param listener receives the time in milliseconds and each change of the view, in order
     */
    public WatchedView(
            Platform platform,
            String prefix,
            Duration watchTime,
            long seed,
            BiConsumer<Long, Change> listener) {
        this(platform, prefix, watchTime, 0, BACKOFF, CatchUpMode.ALL_VERSIONS, seed, listener);
    }

    /**
     * Creates a view with a given backoff and catch-up mode.
     *
     * @param platform the platform that is watched
     * @param prefix the prefix that the keys share
     * @param watchTime how long one watch waits
     * @param gatherMs how long to wait after changes before the next watch, in milliseconds, so
     *     that further changes gather; each watch is a call that is charged
     * @param backoff the backoff after failed calls
     * @param catchUpMode which of the missed changes are reported
     * @param seed seeds the jitter of the backoff
     * @param listener receives the time in milliseconds and each change of the view, in order
     */
    public WatchedView(
            Platform platform,
            String prefix,
            Duration watchTime,
            long gatherMs,
            RetryPolicy backoff,
            CatchUpMode catchUpMode,
            long seed,
            BiConsumer<Long, Change> listener) {
        mPlatform = platform;
        mPrefix = prefix;
        mListing = new PagedListing(prefix, PAGE_SIZE);
        mWatchTime = watchTime;
        mGatherMs = gatherMs;
        mCatchUpMode = catchUpMode;
        mRetries = new ViewRetries(backoff, seed);
        mListener = listener;
    }

    /**
     * Sets the listener that receives the time in milliseconds and each object that the store, once
     * it was restored, has with the value that is known already; must be called before the first
     * {@link #tick}.
     */
    public void onConfirmed(BiConsumer<Long, Change> listener) {
        mConfirmationListener = listener;
    }

    /**
     * Sets the listener that receives the time in milliseconds at which a list was given up, since
     * its pages lead to no end; must be called before the first {@link #tick}.
     */
    public void onListingStuck(LongConsumer listener) {
        mListingStuckListener = listener;
    }

    /** Returns whether a complete state of the objects has been received. */
    public boolean ready() {
        synchronized (mLock) {
            return mReady;
        }
    }

    /** Returns the last known state of one object. */
    public Optional<StoredObject> get(String key) {
        synchronized (mLock) {
            return mObjects.get(key);
        }
    }

    /** Returns the last known state of all objects, in the order of their keys. */
    public List<StoredObject> all() {
        synchronized (mLock) {
            return mObjects.all();
        }
    }

    /** Returns the version of the store that this view reflects. */
    public long upToVersion() {
        synchronized (mLock) {
            return mUpToVersion;
        }
    }

    /** Returns how long all calls have failed, in milliseconds; 0 if the last one succeeded. */
    public long failingForMs(long nowMs) {
        synchronized (mLock) {
            return mRetries.failingForMs(nowMs);
        }
    }

    /** Returns whether a call failed within the last {@code ms} milliseconds. */
    public boolean failedWithin(long nowMs, long ms) {
        synchronized (mLock) {
            return mRetries.failedWithin(nowMs, ms);
        }
    }

    /** Returns whether the answer to the call in progress has been received in part. */
    public boolean isReceiving(long nowMs) {
        synchronized (mLock) {
            return mCallInProgress
                    && mLastBytesMs != NEVER
                    && nowMs - mLastBytesMs < MAX_RECEIVE_GAP_MS;
        }
    }

    /**
     * Suspends the view, which other VMs then keep up to date, or resumes it from its version.
     *
     * @param nowMs the present time in milliseconds
     * @param watching whether this view watches the platform itself
     */
    public void setWatching(long nowMs, boolean watching) {
        Runnable cancel = () -> {};
        synchronized (mLock) {
            if (mSuspended != watching) {
                return;
            }
            mSuspended = !watching;
            mRetries.allow();
            if (mSuspended && mReady) {
                mRetries.onSuccess();
                boolean waiting = mCallInProgress && !mListNext && !isReceiving(nowMs);
                if (waiting) {
                    mCallInProgress = false;
                    mCallNumber++;
                    cancel = mCancelCall;
                }
                mListNext &= mCallInProgress;
            }
        }
        cancel.run();
        tick(nowMs);
    }

    /**
     * Applies changes that another VM's view received after a version.
     *
     * @param nowMs the present time in milliseconds
     * @param baseVersion the version after which the changes begin
     * @param upToVersion the version that the other VM's view reflects
     * @param changes the changes
     * @return whether this view now reflects them; false if it is older than {@code baseVersion},
     *     or of a former era of the store, whose later changes the store has lost
     */
    public boolean applyPeerChanges(
            long nowMs, long baseVersion, long upToVersion, List<Change> changes) {
        ViewChanges reported = new ViewChanges();
        synchronized (mLock) {
            if (mStopped || !mReady || mUpToVersion < baseVersion) {
                return false;
            }
            if (upToVersion <= mUpToVersion) {
                return true;
            }
            if (!StoreVersion.isSameEra(upToVersion, mUpToVersion)) {
                return false;
            }
            changes.forEach(c -> mObjects.apply(nowMs, c, reported));
            mUpToVersion = upToVersion;
            mObjects.dropTombstones(mUpToVersion);
        }
        reported.report(nowMs, mListener, mConfirmationListener);
        return true;
    }

    /**
     * Merges the state of another VM's view; ignored unless it is newer than this view.
     *
     * @param nowMs the present time in milliseconds
     * @param keys the keys of all objects below the prefix
     * @param newer at least the objects that changed since this view's version
     * @param storeVersion the version of the store that the other VM's view reflects
     */
    public void mergePeerState(
            long nowMs, Set<String> keys, List<StoredObject> newer, long storeVersion) {
        ViewChanges reported = new ViewChanges();
        synchronized (mLock) {
            if (mStopped || storeVersion <= mUpToVersion) {
                return;
            }
            mObjects.applyList(nowMs, keys, newer, storeVersion, reported);
            mUpToVersion = storeVersion;
            mReady = true;
            if (!mCallInProgress && !mCatchUpMode.relistsAfterFailure()) {
                mListNext = false;
                mListing.restart();
            }
        }
        reported.report(nowMs, mListener, mConfirmationListener);
    }

    /**
     * Cancels a watch that has received nothing and lists again, for a view that is known to be
     * outdated; a suspended view lists once. Does nothing while an answer is being received, a
     * listing is in progress or failed calls are retried.
     *
     * @param nowMs the present time in milliseconds
     */
    public void relist(long nowMs) {
        replaceWatch(nowMs, true);
    }

    /**
     * Cancels a watch that has received nothing and watches again from the same version, for a
     * watch whose answer may be lost. Does nothing if no watch is waiting.
     *
     * @param nowMs the present time in milliseconds
     */
    public void restartWatch(long nowMs) {
        replaceWatch(nowMs, false);
    }

    private void replaceWatch(long nowMs, boolean relist) {
        Runnable cancel;
        synchronized (mLock) {
            boolean idle = mSuspended && !mCallInProgress && relist;
            boolean watching = mCallInProgress && !mListNext && !isReceiving(nowMs);
            if (mStopped || !(idle || watching)) {
                return;
            }
            mCallInProgress = false;
            mCallNumber++;
            cancel = mCancelCall;
            if (relist) {
                restartListing();
            }
        }
        cancel.run();
        tick(nowMs);
    }

    /** Stops the view: no further call is made, and outstanding replies are ignored. */
    public void stop() {
        synchronized (mLock) {
            mStopped = true;
        }
    }

    /**
     * Starts the next call if none is in progress and no backoff is pending.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        settleRestored(nowMs);
        startCall(nowMs);
    }

    private void settleRestored(long nowMs) {
        ViewChanges reported = new ViewChanges();
        synchronized (mLock) {
            mObjects.settleRestored(nowMs, mUpToVersion, reported);
        }
        reported.report(nowMs, mListener, mConfirmationListener);
    }

    private void startCall(long nowMs) {
        PlatformCall call;
        long callNumber;
        synchronized (mLock) {
            boolean complete = mReady && !mListNext;
            boolean suspended = mSuspended && complete;
            if (mStopped || mCallInProgress || suspended || !mRetries.mayCall(nowMs)) {
                return;
            }
            mCallInProgress = true;
            mLastBytesMs = NEVER;
            callNumber = ++mCallNumber;
            call = nextCall();
        }
        Runnable cancel =
                mPlatform.submit(
                        nowMs,
                        call,
                        (atMs, bytes) -> onBytes(atMs, callNumber),
                        (atMs, reply) -> onReply(atMs, callNumber, reply));
        synchronized (mLock) {
            if (callNumber == mCallNumber) {
                mCancelCall = cancel;
            }
        }
    }

    private void onBytes(long nowMs, long callNumber) {
        synchronized (mLock) {
            if (callNumber == mCallNumber) {
                mLastBytesMs = nowMs;
            }
        }
    }

    private PlatformCall nextCall() {
        if (!mListNext) {
            boolean mayBeRestored = mRetries.isFailing() && StoreVersion.era(mUpToVersion) > 0;
            Duration wait = mayBeRestored ? ERA_CHECK_TIME : mWatchTime;
            return new PlatformCall.Watch(mPrefix, mUpToVersion, wait);
        }
        return mListing.nextCall();
    }

    private void onReply(long nowMs, long callNumber, PlatformReply reply) {
        ViewChanges reported = new ViewChanges();
        Next next;
        synchronized (mLock) {
            if (mStopped || callNumber != mCallNumber) {
                return;
            }
            mCallInProgress = false;
            next = handleReply(nowMs, reply, reported);
        }
        reported.report(nowMs, mListener, mConfirmationListener);
        switch (next) {
            case CALL -> startCall(nowMs);
            case WAIT -> {}
            case REPORT_STUCK_LISTING -> mListingStuckListener.accept(nowMs);
            default -> throw new IllegalStateException("no such step: " + next);
        }
    }

    /** What follows a reply. */
    private enum Next {
        /** The next call may be made at once. */
        CALL,
        /** The next call is left to a {@link #tick}. */
        WAIT,
        /** As {@link #WAIT}, since the pages of a list lead to no end. */
        REPORT_STUCK_LISTING
    }

    private Next handleReply(long nowMs, PlatformReply reply, ViewChanges reported) {
        if (reply instanceof PlatformReply.Listed listed && mListNext) {
            return onListed(nowMs, listed, reported);
        }
        if (reply instanceof PlatformReply.Changed changed) {
            mRetries.onSuccess();
            return onChanged(nowMs, changed, reported);
        }
        if (reply instanceof PlatformReply.WatchGap) {
            restartListing();
            return Next.CALL;
        }
        mRetries.onFailure(nowMs);
        if (mCatchUpMode.relistsAfterFailure()) {
            restartListing();
        }
        return Next.WAIT;
    }

    private Next onChanged(long nowMs, PlatformReply.Changed changed, ViewChanges reported) {
        if (!StoreVersion.isSameEra(changed.upToVersion(), mUpToVersion)) {
            mListNext |= changed.upToVersion() > mUpToVersion;
            return Next.CALL;
        }
        List<Change> changes = mCatchUpMode.select(changed.changes());
        changes.forEach(c -> mObjects.apply(nowMs, c, reported));
        boolean skipped = changes.size() < changed.changes().size();
        if (skipped) {
            restartListing(); // Newer versions may have been written meanwhile.
        }
        mUpToVersion = Math.max(mUpToVersion, changed.upToVersion());
        mObjects.dropTombstones(mUpToVersion);
        boolean gather = !changed.changes().isEmpty() && mGatherMs > 0;
        if (gather) {
            mRetries.pause(nowMs, mGatherMs);
        }
        return gather ? Next.WAIT : Next.CALL;
    }

    private Next onListed(long nowMs, PlatformReply.Listed page, ViewChanges reported) {
        if (page.storeVersion() < mUpToVersion) {
            mRetries.onSuccess();
            restartListing();
            mRetries.onOutdatedAnswer(nowMs);
            return Next.WAIT;
        }
        return switch (mListing.add(page)) {
            case MORE, RESTORED -> Next.CALL;
            case COMPLETE -> {
                mRetries.onSuccess();
                completeListing(nowMs, reported);
                yield Next.CALL;
            }
            case NOT_ADVANCING -> {
                mRetries.onFailure(nowMs);
                yield Next.REPORT_STUCK_LISTING;
            }
        };
    }

    private void completeListing(long nowMs, ViewChanges reported) {
        List<StoredObject> objects = mListing.objects();
        Set<String> listed = objects.stream().map(StoredObject::key).collect(Collectors.toSet());
        mObjects.applyList(nowMs, listed, objects, mListing.version(), reported);
        mUpToVersion = Math.max(mUpToVersion, mListing.version());
        mReady = true;
        mListNext = false;
        mListing.restart();
    }

    private void restartListing() {
        mListNext = true;
        mListing.restart();
    }
}
