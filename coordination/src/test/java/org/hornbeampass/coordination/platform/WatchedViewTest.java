package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Tests that a view follows changes, recovers from gaps and failures, and never returns to an older
 * state.
 */
class WatchedViewTest {
    private final Deque<PlatformCall> mCalls = new ArrayDeque<>();
    private final Deque<BiConsumer<Long, PlatformReply>> mWaiting = new ArrayDeque<>();
    private final List<Change> mReported = new ArrayList<>();
    private final WatchedView mView =
            new WatchedView(
                    (nowMs, call, done) -> {
                        mCalls.add(call);
                        mWaiting.add(done);
                    },
                    "vms/",
                    Duration.ofSeconds(30),
                    1,
                    (atMs, change) -> mReported.add(change));

    @Test
    void firstTick_listsThenWatchesFromListingVersion() {
        mView.tick(0);
        assertThat(mView.ready()).isFalse();
        reply(listed(10, false, object("vms/a", "1", 4)));

        assertThat(mView.ready()).isTrue();
        assertThat(mView.get("vms/a")).isPresent();
        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", 10, Duration.ofSeconds(30)));

        reply(changed(12, set("vms/b", "1", 11), deleted("vms/a", 12)));
        assertThat(mView.all()).extracting(StoredObject::key).containsExactly("vms/b");
        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", 12, Duration.ofSeconds(30)));
    }

    @Test
    void pagedListing_isWatchedFromVersionOfFirstPage() {
        mView.tick(0);
        reply(listed(10, true, object("vms/a", "1", 4)));
        assertThat(mView.ready()).isFalse();
        reply(listed(15, false, object("vms/b", "1", 14)));

        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", 10, Duration.ofSeconds(30)));
        reply(changed(15, set("vms/b", "0", 12), set("vms/b", "1", 14)));
        assertThat(mView.get("vms/b").orElseThrow().value()).isEqualTo("1");
        assertThat(mReported).hasSize(2);
    }

    /** Guards against a list that is read again and again without a pause. */
    @Test
    void listThatDoesNotAdvance_countsAsFailingAndIsReadAgainWithBackoff() {
        List<Long> stuck = new ArrayList<>();
        mView.onListingStuck(stuck::add);
        long nowMs = 0;
        for (int i = 1; i <= 3; i++) {
            mView.tick(nowMs);
            reply(nowMs, listed(10, true, object("vms/a", "1", 4)));
            int before = mCalls.size();
            reply(nowMs, listed(10, true, object("vms/a", "1", 4)));
            assertThat(mCalls).hasSize(before);
            assertThat(stuck).hasSize(i);
            mView.tick(nowMs);
            assertThat(mCalls).hasSize(before);
            nowMs += 60_000;
        }
        assertThat(mView.ready()).isFalse();
        assertThat(mView.failingForMs(nowMs)).isEqualTo(nowMs);
        mView.tick(nowMs);
        reply(nowMs, listed(10, false, object("vms/a", "1", 4)));
        assertThat(mView.ready()).isTrue();
        assertThat(mView.failingForMs(nowMs)).isZero();
    }

    @Test
    void watchGap_relistsAndReportsDeletions() {
        start(listed(10, false, object("vms/a", "1", 4), object("vms/b", "1", 5)));
        reply(new PlatformReply.WatchGap());
        reply(listed(90, false, object("vms/b", "2", 50)));

        assertThat(mView.all()).containsExactly(object("vms/b", "2", 50));
        assertThat(mReported).contains(deleted("vms/a", 90));
    }

    @Test
    void staleListing_isDiscarded() {
        start(listed(10, false, object("vms/a", "1", 4)));
        reply(changed(20, set("vms/a", "2", 20)));
        reply(new PlatformReply.WatchGap());
        reply(listed(10, false, object("vms/a", "1", 4)));

        assertThat(mView.get("vms/a").orElseThrow().value()).isEqualTo("2");
        mView.tick(60_000);
        reply(listed(30, false, object("vms/a", "3", 25)));
        assertThat(mView.get("vms/a").orElseThrow().value()).isEqualTo("3");
    }

    @Test
    void outage_keepsViewAndRetriesWithBackoff() {
        start(listed(10, false, object("vms/a", "1", 4)));
        int before = mCalls.size();
        reply(new PlatformReply.Unavailable("outage"));
        mView.tick(0);
        assertThat(mCalls).hasSize(before);

        mView.tick(60_000);

        assertThat(mCalls).hasSize(before + 1);
        assertThat(mView.get("vms/a")).isPresent();
    }

    @Test
    void supersededVersions_areSkippedAndViewRelists() {
        WatchedView view = newestVersionView();
        view.tick(0);
        reply(listed(10, false, object("config/main", "1", 4)));
        reply(
                changed(
                        30,
                        set("config/main", "2", 20),
                        set("config/main", "3", 25),
                        set("config/main", "4", 30)));

        assertThat(mReported)
                .containsExactly(set("config/main", "1", 4), set("config/main", "4", 30));
        assertThat(lastCall()).isInstanceOf(PlatformCall.ListObjects.class);
        reply(listed(50, false, object("config/main", "5", 45)));
        assertThat(view.get("config/main").orElseThrow().value()).isEqualTo("5");
        assertThat(lastCall()).isInstanceOf(PlatformCall.Watch.class);
    }

    @Test
    void failedWatchOfLargeObjects_isFollowedByAListing() {
        WatchedView view = newestVersionView();
        view.tick(0);
        reply(listed(10, false, object("config/main", "1", 4)));
        reply(new PlatformReply.Unavailable("outage"));
        view.tick(60_000);

        assertThat(lastCall()).isInstanceOf(PlatformCall.ListObjects.class);
    }

    @Test
    void failedWatchOfSmallObjects_isFollowedByAWatch() {
        start(listed(10, false, object("vms/a", "1", 4)));
        reply(new PlatformReply.Unavailable("outage"));
        mView.tick(60_000);

        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", 10, Duration.ofSeconds(30)));
    }

    @Test
    void listingOfALaterEra_replacesTheViewAndReportsOnlyDifferences() {
        start(listed(10, false, object("vms/a", "1", 4), object("vms/b", "1", 9)));
        reply(new PlatformReply.WatchGap());
        long upTo = StoreVersion.of(1, 7);
        reply(
                listed(
                        upTo,
                        false,
                        object("vms/a", "1", StoreVersion.of(1, 4)),
                        object("vms/b", "0", StoreVersion.of(1, 6))));
        assertThat(mReported).hasSize(3);
        assertThat(mReported.get(2)).isEqualTo(set("vms/b", "0", StoreVersion.of(1, 6)));
        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", upTo, Duration.ofSeconds(30)));
    }

    @Test
    void pagesOfTwoEras_areListedAgain() {
        mView.tick(0);
        reply(listed(10, true, object("vms/a", "1", 4)));
        reply(listed(StoreVersion.of(1, 5), false, object("vms/b", "1", StoreVersion.of(1, 5))));
        assertThat(mView.ready()).isFalse();
        assertThat(lastCall()).isEqualTo(new PlatformCall.ListObjects("vms/", "", 500));
    }

    @Test
    void watchOfAFormerEra_changesNothingOnceAPeerKnowsALaterOne() {
        start(listed(10, false, object("vms/a", "1", 4)));
        long upTo = StoreVersion.of(1, 3);
        StoredObject restored = object("vms/a", "0", StoreVersion.of(1, 2));
        mView.mergePeerState(0, Set.of("vms/a"), List.of(restored), upTo);
        reply(changed(12, set("vms/a", "2", 11), set("vms/b", "1", 12)));
        assertThat(mView.all()).containsExactly(restored);
        assertThat(lastCall())
                .isEqualTo(new PlatformCall.Watch("vms/", upTo, Duration.ofSeconds(30)));
    }

    @Test
    void peerChangesOfALaterEra_areNotAppliedToAFormerOne() {
        start(listed(10, false, object("vms/a", "1", 4)));
        boolean applied =
                mView.applyPeerChanges(0, 10, StoreVersion.of(1, 7), List.of(deleted("vms/a", 7)));
        assertThat(applied).isFalse();
        assertThat(mView.get("vms/a")).isPresent();
    }

    /** Returns a view that reports only the newest version of each object. */
    private WatchedView newestVersionView() {
        return new WatchedView(
                (nowMs, call, done) -> {
                    mCalls.add(call);
                    mWaiting.add(done);
                },
                "config/",
                Duration.ofSeconds(30),
                0,
                new RetryPolicy(10, 10, 100),
                CatchUpMode.NEWEST_VERSION,
                1,
                (atMs, change) -> mReported.add(change));
    }

    private void start(PlatformReply first) {
        mView.tick(0);
        reply(first);
    }

    private void reply(PlatformReply reply) {
        reply(0, reply);
    }

    private void reply(long nowMs, PlatformReply reply) {
        mWaiting.remove().accept(nowMs, reply);
    }

    private PlatformCall lastCall() {
        return mCalls.getLast();
    }

    private static StoredObject object(String key, String value, long version) {
        return new StoredObject(key, value, version);
    }

    private static Change set(String key, String value, long version) {
        return new Change(key, Optional.of(value), version);
    }

    private static Change deleted(String key, long version) {
        return new Change(key, Optional.empty(), version);
    }

    private static PlatformReply changed(long upTo, Change... changes) {
        return new PlatformReply.Changed(List.of(changes), upTo);
    }

    private static PlatformReply listed(long version, boolean more, StoredObject... objects) {
        return new PlatformReply.Listed(List.of(objects), more, version);
    }
}
