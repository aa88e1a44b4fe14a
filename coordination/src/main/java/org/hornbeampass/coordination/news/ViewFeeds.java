package org.hornbeampass.coordination.news;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps the views of most VMs up to date through the few VMs that watch the platform.
 *
 * <p>A watching VM sends what changed to the other VMs of its failure domain and to the watching
 * VMs of the others. A VM that is not watching requests what it has missed from the sender, and
 * reads large changes from the platform. After the platform was restored, it reads all of them.
 * Invariant: a view never goes back, since versions are those of the platform's store. Confined to
 * one thread.
 */
public final class ViewFeeds {
    /**
     * Largest total size of the changes of one view in a feed, in bytes; a feed of this size to 25
     * VMs occupies a link of 10 Mbit/s for 160 ms.
     */
    private static final int MAX_CHANGE_BYTES = 8 << 10;

    /** Requests the changes of a view from another VM. */
    @FunctionalInterface
    public interface ChangeRequester {
        /** Requests the changes of the view with a prefix from the VM of a name. */
        void request(long nowMs, String prefix, String vm);
    }

    /** Receives whether this VM watches the platform itself. */
    @FunctionalInterface
    public interface DutyListener {
        /** Called when this VM begins or ceases to watch. */
        void onDuty(long nowMs, boolean watching, long silentForMs);
    }

    /** One view and its changes since the last feed. */
    private static final class Fed {
        private final WatchedView mView;
        private final List<Change> mChanges = new ArrayList<>();
        private long mFedVersion;
        private boolean mTooLarge;

        Fed(WatchedView view) {
            mView = view;
        }

        void onChange(Change change) {
            mChanges.add(change);
            long bytes = mChanges.stream().mapToLong(c -> c.value().orElse("").length()).sum();
            if (bytes > MAX_CHANGE_BYTES) {
                mTooLarge = true;
                mChanges.clear();
            }
        }

        void reset() {
            mFedVersion = mView.upToVersion();
            mTooLarge = false;
            mChanges.clear();
        }

        ViewFeed.Item toItem(String prefix) {
            long upToVersion = mView.upToVersion();
            boolean restored = mFedVersion > 0 && !StoreVersion.isSameEra(mFedVersion, upToVersion);
            boolean leftOut = mTooLarge || restored;
            List<ViewFeed.Change> changes =
                    leftOut ? List.of() : mChanges.stream().map(ViewFeed.Change::of).toList();
            return new ViewFeed.Item(prefix, mFedVersion, upToVersion, leftOut, changes);
        }
    }

    private final Map<String, Fed> mViews = new LinkedHashMap<>();
    private final PeerNetwork mPeers;
    private final Supplier<WatchPaths> mPaths;
    private final ChangeRequester mRequester;
    private final DutyListener mListener;
    private final WatchDuty mDuty = new WatchDuty();
    private long mOtherDomainFedMs = Long.MIN_VALUE / 2;
    private long mNextFeedMs;
    private boolean mChanged;

    /**
     * Creates the feeds.
     *
     * @param views the views by the prefixes of their keys
     * @param peers sends messages to other VMs
     * @param paths returns this VM's rank and receivers
     * @param requester requests changes that this VM has missed
     * @param listener receives whether this VM watches
     */
    public ViewFeeds(
            Map<String, WatchedView> views,
            PeerNetwork peers,
            Supplier<WatchPaths> paths,
            ChangeRequester requester,
            DutyListener listener) {
        views.forEach((prefix, view) -> mViews.put(prefix, new Fed(view)));
        mPeers = peers;
        mPaths = paths;
        mRequester = requester;
        mListener = listener;
    }

    /** Returns whether this VM watches the platform itself. */
    public boolean isWatching() {
        return mDuty.isWatching();
    }

    /** Returns whether this VM relies on feeds that are late, so that its views may be behind. */
    public boolean isBehind(long nowMs) {
        return mDuty.isSilent(nowMs);
    }

    /** Returns the time since the last feed in milliseconds. */
    public long silentForMs(long nowMs) {
        return mDuty.silentForMs(nowMs);
    }

    /** Records a change of one of this VM's views. */
    public void onChange(String prefix, Change change) {
        if (mDuty.isWatching()) {
            mViews.get(prefix).onChange(change);
            mChanged = true;
        }
    }

    /** Decides whether this VM watches, and sends a feed if it is due. */
    public void tick(long nowMs) {
        WatchPaths paths = mPaths.get();
        boolean before = mDuty.isWatching();
        boolean watching = mDuty.update(nowMs, paths);
        if (watching != before) {
            mListener.onDuty(nowMs, watching, mDuty.silentForMs(nowMs));
            mViews.values().forEach(Fed::reset);
        }
        mViews.values().forEach(f -> f.mView.setWatching(nowMs, watching));
        boolean due = paths.hasDependents() && nowMs >= mNextFeedMs;
        if (watching && (mChanged || due)) {
            sendFeed(nowMs, paths);
        }
    }

    private void sendFeed(long nowMs, WatchPaths paths) {
        boolean ready = mViews.values().stream().allMatch(f -> f.mView.ready());
        boolean direct = mViews.values().stream().allMatch(f -> f.mView.failingForMs(nowMs) == 0);
        boolean relayed = nowMs - mOtherDomainFedMs < WatchDuty.SILENCE_MS;
        if (!ready || !(direct || relayed)) {
            return;
        }
        mNextFeedMs = nowMs + WatchDuty.FEED_INTERVAL_MS;
        mChanged = false;
        List<ViewFeed.Item> items = new ArrayList<>();
        mViews.forEach((prefix, view) -> items.add(view.toItem(prefix)));
        ViewFeed feed = new ViewFeed(direct, items);
        paths.domainPeers().forEach(vm -> mPeers.send(vm, feed));
        if (direct) {
            paths.otherWatchers().forEach(vm -> mPeers.send(vm, feed));
        }
        mViews.values().forEach(Fed::reset);
    }

    /** Applies the feed of another VM; a {@code PeerHandler}. */
    public void onFeed(long nowMs, VmId from, ViewFeed feed, Consumer<PeerMessage> reply) {
        if (mPaths.get().domainPeers().contains(from.name())) {
            mDuty.onFed(nowMs);
        } else if (feed.direct()) {
            mOtherDomainFedMs = nowMs;
        }
        feed.views().forEach(item -> apply(nowMs, from.name(), item));
    }

    private void apply(long nowMs, String from, ViewFeed.Item item) {
        Fed fed = mViews.get(item.prefix());
        if (fed == null || item.upToVersion() <= fed.mView.upToVersion()) {
            return;
        }
        List<Change> changes = item.changes().stream().map(ViewFeed.Change::toChange).toList();
        boolean applied =
                !item.leftOut()
                        && fed.mView.applyPeerChanges(
                                nowMs, item.baseVersion(), item.upToVersion(), changes);
        if (!applied) {
            mRequester.request(nowMs, item.prefix(), from);
        }
    }
}
