package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.news.ViewExchange;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MissedChanges;
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
 * What this VM knows of the store's configuration and upstreams, and how it keeps that fresh: from
 * its own watches, and from other VMs.
 *
 * <p>Confined to one event loop.
 */
final class StoreViews implements MembershipListener {
    /**
     * How long a watch waits, in milliseconds. Each is a call that is charged, whether it waits
     * long or not; the platform lets one wait for 30 s at most. A connection that went silent is
     * given up by its own probes, and what a watch misses is heard of from other VMs. With 2.5 s
     * the watches of 19 VMs made some 900 calls in a day of 53 s, of which 240 brought news.
     */
    private static final long WATCH_MS = 25_000;

    /** Waits after failed calls: several a second would be charged, ten seconds would be late. */
    private static final RetryPolicy BACKOFF = new RetryPolicy(150, 700, Integer.MAX_VALUE);

    /** How often watches are begun anew at most where the store comes and goes, in milliseconds. */
    private static final long WATCH_ANEW_MS = 2_000;

    private final Platform mStore;
    private final Random mRandom;
    private final WatchedView mConfig;
    private final WatchedView mUpstreams;
    private final ViewExchange mNews;
    private final RevisionTracker mConfigNews;
    private final RevisionTracker mUpstreamsNews;
    private long mWatchAnewAtMs = Long.MAX_VALUE;
    private long mWatchedAnewMs;

    /**
     * Makes the views; nothing is asked before the first {@link #tick}.
     *
     * @param store the platform that is watched
     * @param configPrefix the prefix of the keys of the configuration
     * @param upstreamPrefix the prefix of the keys of the upstreams' entries
     * @param peers sends messages to other VMs
     * @param others gives the names of other VMs that are up
     * @param log takes a line for each belief
     * @param announceConfig tells others a revision of the configuration, at a time in milliseconds
     * @param announceUpstreams tells others the revision of an upstream's change
     * @param random chooses whom to ask, and spreads retries
     * @param onConfig takes the time in milliseconds and each change of the configuration
     * @param onUpstream takes the time in milliseconds and each change of an upstream
     */
    StoreViews(
            Platform store,
            String configPrefix,
            String upstreamPrefix,
            PeerNetwork peers,
            Supplier<List<String>> others,
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
                        MissedChanges.SKIPPED,
                        (nowMs, change) -> {
                            onConfig.accept(nowMs, change);
                            configNews().onChange(nowMs, change.version());
                        });
        mUpstreams =
                view(
                        upstreamPrefix,
                        MissedChanges.REPLAYED,
                        (nowMs, change) -> {
                            onUpstream.accept(nowMs, change);
                            upstreamsNews().onChange(nowMs, change.version());
                        });
        mNews =
                new ViewExchange(
                        Map.of(configPrefix, mConfig, upstreamPrefix, mUpstreams),
                        peers,
                        others,
                        random);
        mConfigNews =
                new RevisionTracker(
                        "configuration",
                        log,
                        announceConfig,
                        (nowMs, name) -> mNews.requestNow(nowMs, configPrefix, name));
        mUpstreamsNews =
                new RevisionTracker(
                        "upstreams",
                        log,
                        announceUpstreams,
                        (nowMs, name) -> mNews.requestNow(nowMs, upstreamPrefix, name));
    }

    private WatchedView view(String prefix, MissedChanges missed, BiConsumer<Long, Change> taker) {
        return new WatchedView(
                mStore,
                prefix,
                Duration.ofMillis(WATCH_MS),
                BACKOFF,
                missed,
                mRandom.nextLong(),
                taker);
    }

    private RevisionTracker configNews() {
        return mConfigNews;
    }

    private RevisionTracker upstreamsNews() {
        return mUpstreamsNews;
    }

    WatchedView config() {
        return mConfig;
    }

    WatchedView upstreams() {
        return mUpstreams;
    }

    /**
     * Returns whether there may be a newer configuration: another VM has one, one is on its way, or
     * the store does not answer.
     */
    boolean configMayBeBehind(long nowMs) {
        return mConfigNews.isBehind(nowMs)
                || mConfig.receiving(nowMs)
                || mConfig.failingForMs(nowMs) >= ViewExchange.MIN_FAILING_MS;
    }

    /**
     * Watches anew, since the answers to the watches that were waiting may be among those that were
     * lost. Where all VMs lost them, none hears of a change from another.
     */
    void onStoreRegained(long nowMs) {
        mWatchAnewAtMs = Math.max(nowMs, mWatchedAnewMs + WATCH_ANEW_MS);
    }

    private void watchAnew(long nowMs) {
        if (nowMs < mWatchAnewAtMs) {
            return;
        }
        mWatchAnewAtMs = Long.MAX_VALUE;
        mWatchedAnewMs = nowMs;
        mConfig.watchAnew(nowMs);
        mUpstreams.watchAnew(nowMs);
    }

    /** Returns what answers other VMs' questions. */
    ViewExchange viewExchange() {
        return mNews;
    }

    @Override
    public void onPeerRevision(long nowMs, VmId from, long revision) {
        mConfigNews.onPeerRevision(nowMs, from, revision);
    }

    @Override
    public void onPeerUpstreamsRevision(long nowMs, VmId from, long revision) {
        mUpstreamsNews.onPeerRevision(nowMs, from, revision);
    }

    /** Does what is due. */
    void tick(long nowMs) {
        watchAnew(nowMs);
        mConfig.tick(nowMs);
        mUpstreams.tick(nowMs);
        mNews.tick(nowMs);
        mConfigNews.tick(nowMs);
        mUpstreamsNews.tick(nowMs);
    }
}
