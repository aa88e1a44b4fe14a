package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.news.ViewExchange;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.VmId;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * This VM's views of the configuration and the upstreams in the store, which are kept current by
 * its own watches and by other VMs.
 *
 * <p>Confined to one event loop.
 */
final class StoreViews implements MembershipListener {
    /**
     * How long a watch waits, in milliseconds. Each watch is a call that is charged, whether it
     * waits long or not; the platform lets one wait for 30 s at most. A silent connection is closed
     * by its own probes, and a change that a watch misses is reported by other VMs. With 2.5 s the
     * watches of 19 VMs made some 900 calls in a day compressed to 53 s, of which 240 returned
     * changes.
     */
    private static final long WATCH_TIMEOUT_MS = 25_000;

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

    private final Platform mStore;
    private final Random mRandom;
    private final WatchedView mConfig;
    private final WatchedView mUpstreams;
    private final ViewExchange mViewExchange;
    private final ViewRevisionTracker mConfigRevisions;
    private final ViewRevisionTracker mUpstreamsRevisions;
    private long mRestartWatchesAtMs = Long.MAX_VALUE;
    private long mLastRestartMs;

    /**
     * Creates the views; the store is first called at the first {@link #tick}.
     *
     * @param store the platform that is watched
     * @param configPrefix the prefix of the keys of the configuration
     * @param upstreamPrefix the prefix of the keys of the upstreams' entries
     * @param peers sends messages to other VMs
     * @param otherVms returns the names of other VMs that are up
     * @param log receives a line when a view is behind
     * @param announceConfig announces a revision of the configuration to other VMs; receives the
     *     time in milliseconds first
     * @param announceUpstreams announces the revision of an upstream's change to other VMs;
     *     receives the time in milliseconds first
     * @param random chooses the VM to request changes from, and spreads retries
     * @param onConfig receives the time in milliseconds and each change of the configuration
     * @param onUpstream receives the time in milliseconds and each change of an upstream
     */
    StoreViews(
            Platform store,
            String configPrefix,
            String upstreamPrefix,
            PeerNetwork peers,
            Supplier<List<String>> otherVms,
            RelayLog log,
            BiConsumer<Long, Long> announceConfig,
            BiConsumer<Long, Long> announceUpstreams,
            Random random,
            BiConsumer<Long, Change> onConfig,
            BiConsumer<Long, Change> onUpstream) {
        mStore = store;
        mRandom = random;
        mConfig =
                view(
                        configPrefix,
                        CatchUpMode.NEWEST_VERSION,
                        (nowMs, change) -> {
                            onConfig.accept(nowMs, change);
                            configRevisions().onChange(nowMs, change.version());
                        });
        mUpstreams =
                view(
                        upstreamPrefix,
                        CatchUpMode.ALL_VERSIONS,
                        (nowMs, change) -> {
                            onUpstream.accept(nowMs, change);
                            upstreamsRevisions().onChange(nowMs, change.version());
                        });
        mViewExchange =
                new ViewExchange(
                        Map.of(configPrefix, mConfig, upstreamPrefix, mUpstreams),
                        peers,
                        otherVms,
                        random);
        mConfigRevisions =
                new ViewRevisionTracker(
                        "configuration",
                        log,
                        announceConfig,
                        (nowMs, name) -> mViewExchange.requestNow(nowMs, configPrefix, name));
        mUpstreamsRevisions =
                new ViewRevisionTracker(
                        "upstreams",
                        log,
                        announceUpstreams,
                        (nowMs, name) -> mViewExchange.requestNow(nowMs, upstreamPrefix, name));
    }

    private WatchedView view(String prefix, CatchUpMode missed, BiConsumer<Long, Change> onChange) {
        return new WatchedView(
                mStore,
                prefix,
                Duration.ofMillis(WATCH_TIMEOUT_MS),
                BACKOFF,
                missed,
                mRandom.nextLong(),
                onChange);
    }

    private ViewRevisionTracker configRevisions() {
        return mConfigRevisions;
    }

    private ViewRevisionTracker upstreamsRevisions() {
        return mUpstreamsRevisions;
    }

    WatchedView config() {
        return mConfig;
    }

    WatchedView upstreams() {
        return mUpstreams;
    }

    /**
     * Returns whether there may be a newer configuration: another VM has one, one is being
     * received, or the store does not answer.
     */
    boolean configMayBeBehind(long nowMs) {
        return mConfigRevisions.isBehind(nowMs)
                || mConfig.isReceiving(nowMs)
                || mConfig.failingForMs(nowMs) >= ViewExchange.MIN_FAILING_MS;
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
        mConfig.restartWatch(nowMs);
        mUpstreams.restartWatch(nowMs);
    }

    /** Returns the exchange that answers other VMs' requests for changes. */
    ViewExchange viewExchange() {
        return mViewExchange;
    }

    @Override
    public void onPeerRevision(long nowMs, VmId from, long revision) {
        mConfigRevisions.onPeerRevision(nowMs, from, revision);
    }

    @Override
    public void onPeerUpstreamsRevision(long nowMs, VmId from, long revision) {
        mUpstreamsRevisions.onPeerRevision(nowMs, from, revision);
    }

    /** Runs periodic work at the current time in milliseconds. */
    void tick(long nowMs) {
        restartWatches(nowMs);
        mConfig.tick(nowMs);
        mUpstreams.tick(nowMs);
        mViewExchange.tick(nowMs);
        mConfigRevisions.tick(nowMs);
        mUpstreamsRevisions.tick(nowMs);
    }
}
