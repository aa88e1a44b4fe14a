package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.news.NewsExchange;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MissedChanges;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.router.relay.RelayLog;

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
final class StoreViews {
    /**
     * How long a watch waits, in milliseconds. Each is a call that is charged, whether it waits
     * long or not; the platform lets one wait for 30 s at most. A connection that went silent is
     * given up by its own probes, and what a watch misses is heard of from other VMs. With 2.5 s
     * the watches of 19 VMs made some 900 calls in a day of 53 s, of which 240 brought news.
     */
    private static final long WATCH_MS = 25_000;

    /** Waits after failed calls: several a second would be charged, ten seconds would be late. */
    private static final RetryPolicy BACKOFF = new RetryPolicy(150, 700, Integer.MAX_VALUE);

    private final Platform mStore;
    private final Random mRandom;
    private final WatchedView mConfig;
    private final WatchedView mUpstreams;
    private final NewsExchange mNews;
    private final RevisionNews mRevisions;

    /**
     * Makes the views; nothing is asked before the first {@link #tick}.
     *
     * @param store the platform that is watched
     * @param configPrefix the prefix of the keys of the configuration
     * @param upstreamPrefix the prefix of the keys of the upstreams' entries
     * @param peers sends messages to other VMs
     * @param others gives the names of other VMs that are up
     * @param log takes a line for each belief
     * @param announce tells others a revision, at a time in milliseconds
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
            BiConsumer<Long, Long> announce,
            Random random,
            BiConsumer<Long, Change> onConfig,
            BiConsumer<Long, Change> onUpstream) {
        mStore = store;
        mRandom = random;
        mConfig = view(configPrefix, MissedChanges.SKIPPED, onConfig);
        mUpstreams = view(upstreamPrefix, MissedChanges.REPLAYED, onUpstream);
        mNews =
                new NewsExchange(
                        Map.of(configPrefix, mConfig, upstreamPrefix, mUpstreams),
                        peers,
                        others,
                        random);
        mRevisions = new RevisionNews(log, announce, mNews::askNow);
    }

    private WatchedView view(String prefix, MissedChanges missed, BiConsumer<Long, Change> taker) {
        return new WatchedView(
                mStore,
                prefix,
                Duration.ofMillis(WATCH_MS),
                BACKOFF,
                missed,
                mRandom.nextLong(),
                (nowMs, change) -> {
                    taker.accept(nowMs, change);
                    mRevisions.onChange(nowMs, change.version());
                });
    }

    WatchedView config() {
        return mConfig;
    }

    WatchedView upstreams() {
        return mUpstreams;
    }

    /** Returns what answers other VMs' questions. */
    NewsExchange news() {
        return mNews;
    }

    /** Returns what hears how new other VMs' views are; to be added to a {@link Membership}. */
    RevisionNews revisions() {
        return mRevisions;
    }

    /** Does what is due. */
    void tick(long nowMs) {
        mConfig.tick(nowMs);
        mUpstreams.tick(nowMs);
        mNews.tick(nowMs);
        mRevisions.tick(nowMs);
    }
}
