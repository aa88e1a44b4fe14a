package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.news.ViewExchange;
import org.hornbeampass.coordination.news.ViewFeed;
import org.hornbeampass.coordination.news.ViewFeeds;
import org.hornbeampass.coordination.news.WatchPaths;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.EraListener;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.router.relay.ViewStatus;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;

import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * This VM's views of the objects in the store, which are kept current by its own watches and by
 * other VMs.
 *
 * <p>Confined to one event loop.
 */
final class StoreViews implements MembershipListener, ViewStatus, EraListener {
    /**
     * How long a watch waits, in milliseconds. A watch whose answer was lost misses changes for
     * this long, unless another VM reports them. Each watch is a call that is charged.
     */
    private static final long WATCH_TIMEOUT_MS = 2_000;

    /**
     * How long changes gather before the next watch, in milliseconds. Changes are due within
     * seconds.
     */
    private static final long GATHER_MS = 150;

    /**
     * Delays after failed calls: several calls a second would all be charged, and a delay of ten
     * seconds would be too long.
     */
    private static final RetryPolicy BACKOFF = new RetryPolicy(150, 700, Integer.MAX_VALUE);

    /**
     * Minimum interval between restarts of the watches when the store is lost and regained
     * repeatedly, in milliseconds.
     */
    private static final long MIN_RESTART_INTERVAL_MS = 2_000;

    /**
     * One of the views.
     *
     * @param kind the objects
     * @param prefix the prefix of their keys
     * @param catchUp which of several missed changes are reported
     * @param onChange receives the time in milliseconds and each change
     */
    record Source(
            ViewKind kind, String prefix, CatchUpMode catchUp, BiConsumer<Long, Change> onChange) {}

    /** Announces the revision of a view to other VMs. */
    @FunctionalInterface
    interface Announcer {
        /** Announces a revision at the present time in milliseconds. */
        void announce(long nowMs, ViewKind view, long revision);
    }

    private final EraGuard mStore;
    private final Random mRandom;
    private final Map<ViewKind, WatchedView> mViews = new EnumMap<>(ViewKind.class);
    private final Map<ViewKind, ViewRevisionTracker> mRevisions = new EnumMap<>(ViewKind.class);
    private final ViewExchange mViewExchange;
    private final ViewFeeds mFeeds;
    private long mRestartWatchesAtMs = Long.MAX_VALUE;
    private long mLastRestartMs;

    /**
     * Creates the views; the store is first called at the first {@link #tick}.
     *
     * @param store the platform that is watched
     * @param sources the views, at most one of each kind
     * @param peers sends messages to other VMs
     * @param otherVms returns the names of other VMs that are up
     * @param watchPaths returns this VM's rank among the VMs that watch the store for others
     * @param log receives a line when a view is behind
     * @param announcer announces this VM's revisions to other VMs
     * @param random chooses the VM to request changes from, and spreads retries
     */
    StoreViews(
            EraGuard store,
            List<Source> sources,
            PeerNetwork peers,
            Supplier<List<String>> otherVms,
            Supplier<WatchPaths> watchPaths,
            RelayLog log,
            Announcer announcer,
            Random random) {
        mStore = store;
        mRandom = random;
        Map<String, WatchedView> byPrefix = new LinkedHashMap<>();
        for (Source source : sources) {
            WatchedView view = view(source);
            view.onListingStuck(
                    nowMs ->
                            log.logStateChange(
                                    nowMs,
                                    "store-list-stuck",
                                    new LogFields().add("prefix", source.prefix())));
            mViews.put(source.kind(), view);
            byPrefix.put(source.prefix(), view);
        }
        mViewExchange = new ViewExchange(byPrefix, peers, otherVms, random);
        mFeeds =
                new ViewFeeds(
                        byPrefix,
                        peers,
                        watchPaths,
                        mViewExchange::requestNow,
                        (nowMs, watching, silentMs) ->
                                log.logStateChange(
                                        nowMs,
                                        watching ? "watch-begun" : "watch-ended",
                                        new LogFields().add("silent_ms", silentMs)));
        for (Source source : sources) {
            mRevisions.put(
                    source.kind(),
                    new ViewRevisionTracker(
                            source.kind(),
                            log,
                            announcer,
                            mViews.get(source.kind())::upToVersion,
                            (nowMs, name) ->
                                    mViewExchange.requestNow(nowMs, source.prefix(), name)));
        }
    }

    private WatchedView view(Source source) {
        WatchedView view =
                new WatchedView(
                        mStore,
                        source.prefix(),
                        Duration.ofMillis(WATCH_TIMEOUT_MS),
                        GATHER_MS,
                        BACKOFF,
                        source.catchUp(),
                        mRandom.nextLong(),
                        (nowMs, change) -> {
                            source.onChange().accept(nowMs, change);
                            reportToOthers(nowMs, source, change);
                        });
        view.onConfirmed((nowMs, change) -> reportToOthers(nowMs, source, change));
        return view;
    }

    private void reportToOthers(long nowMs, Source source, Change change) {
        mRevisions.get(source.kind()).onChange(nowMs, change.version());
        mFeeds.onChange(source.prefix(), change);
    }

    /** Registers how long each view has been failing, and who watches the store. */
    void registerMetrics(MetricRegistry metrics, Clock clock) {
        mViews.forEach(
                (kind, view) ->
                        metrics.register(
                                metricPrefix(kind) + "_failing_ms",
                                (Gauge<Long>) () -> view.failingForMs(clock.nowMs())));
        metrics.register("watches_store", (Gauge<Integer>) () -> mFeeds.isWatching() ? 1 : 0);
        metrics.register("view_feed_age_ms", (Gauge<Long>) () -> mFeeds.silentForMs(clock.nowMs()));
    }

    private static String metricPrefix(ViewKind kind) {
        return kind == ViewKind.CONFIGURATION ? "config" : kind.label();
    }

    /** Returns one of the views, which must be among the sources. */
    WatchedView view(ViewKind kind) {
        return mViews.get(kind);
    }

    /** Returns whether the evacuations are known; always true where there can't be any. */
    @Override
    public boolean evacuationsKnown() {
        return Optional.ofNullable(mViews.get(ViewKind.EVACUATIONS))
                .map(WatchedView::ready)
                .orElse(true);
    }

    /**
     * Returns whether there may be a newer configuration: another VM has one, one is being
     * received, or the store does not answer.
     */
    @Override
    public boolean configMayBeStale(long nowMs) {
        return mayBeStale(nowMs, ViewKind.CONFIGURATION);
    }

    @Override
    public boolean upstreamsMayBeStale(long nowMs) {
        return mayBeStale(nowMs, ViewKind.UPSTREAMS);
    }

    private boolean mayBeStale(long nowMs, ViewKind kind) {
        WatchedView view = view(kind);
        return mRevisions.get(kind).isBehind(nowMs)
                || mFeeds.isBehind(nowMs)
                || view.isReceiving(nowMs)
                || view.failingForMs(nowMs) >= ViewExchange.MIN_FAILING_MS;
    }

    /**
     * Schedules a restart of the watches, since the answers to the waiting watches may have been
     * lost with the store's other answers. If all VMs lost them, no VM would learn of a change from
     * another.
     */
    void onStoreRegained(long nowMs) {
        mRestartWatchesAtMs = Math.max(nowMs, mLastRestartMs + MIN_RESTART_INTERVAL_MS);
    }

    private void restartWatches(long nowMs) {
        if (nowMs < mRestartWatchesAtMs) {
            return;
        }
        mRestartWatchesAtMs = Long.MAX_VALUE;
        mLastRestartMs = nowMs;
        mViews.values().forEach(v -> v.restartWatch(nowMs));
    }

    /** Returns the exchange that answers other VMs' requests for changes. */
    ViewExchange viewExchange() {
        return mViewExchange;
    }

    /** Restarts the watches, which wait for revisions of a former era of the store. */
    @Override
    public void onEra(long nowMs, long formerEra, long era) {
        mViews.values().forEach(v -> v.restartWatch(nowMs));
    }

    /** Handles the feed of another VM; a {@code PeerHandler}. */
    void onFeed(long nowMs, VmId from, ViewFeed feed, Consumer<PeerMessage> reply) {
        feed.views().forEach(v -> mStore.onEra(nowMs, StoreVersion.era(v.upToVersion())));
        mFeeds.onFeed(nowMs, from, feed, reply);
    }

    @Override
    public void onPeerRevision(long nowMs, VmId from, ViewKind view, long revision) {
        mStore.onEra(nowMs, StoreVersion.era(revision));
        Optional.ofNullable(mRevisions.get(view))
                .ifPresent(r -> r.onPeerRevision(nowMs, from, revision));
    }

    /** Runs periodic work at the current time in milliseconds. */
    void tick(long nowMs) {
        restartWatches(nowMs);
        mFeeds.tick(nowMs);
        mViews.values().forEach(v -> v.tick(nowMs));
        mViewExchange.tick(nowMs);
        mRevisions.values().forEach(r -> r.tick(nowMs));
    }
}
