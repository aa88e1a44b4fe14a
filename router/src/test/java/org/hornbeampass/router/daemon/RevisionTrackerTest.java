package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Checks when a VM asks another one whose view of the store is newer. */
class RevisionTrackerTest {
    private static final VmId PEER = new VmId("peer", 1);
    private static final VmId OTHER = new VmId("other", 1);
    private static final long HEARD_MS = 1_000;

    private final List<Long> mAnnounced = new ArrayList<>();
    private final List<String> mAsked = new ArrayList<>();
    private final RevisionTracker mNews =
            new RevisionTracker(
                    "configuration",
                    new RelayLog(new MetricRegistry()),
                    (nowMs, revision) -> mAnnounced.add(revision),
                    (nowMs, name) -> mAsked.add(name));

    private void runUntil(long untilMs) {
        for (long t = HEARD_MS; t <= untilMs; t += 100) {
            mNews.tick(t);
        }
    }

    @Test
    void changeThatIsNewer_isAnnouncedOnce() {
        mNews.onChange(1, 7);
        mNews.onChange(2, 5);
        mNews.onChange(3, 7);
        assertThat(mAnnounced).containsExactly(7L);
    }

    @Test
    void revisionThatTheOwnWatchBringsInTime_leadsToNoQuestion() {
        mNews.onPeerRevision(HEARD_MS, PEER, 9);
        runUntil(HEARD_MS + 200);
        mNews.onChange(HEARD_MS + 250, 9);
        runUntil(HEARD_MS + 5_000);
        assertThat(mAsked).isEmpty();
    }

    @Test
    void revisionThatTheOwnWatchMisses_isAskedForOnceWithinASecond() {
        mNews.onPeerRevision(HEARD_MS, PEER, 9);
        runUntil(HEARD_MS + 1_000);
        assertThat(mAsked).containsExactly("peer");
        runUntil(HEARD_MS + 5_000);
        assertThat(mAsked).hasSize(1);
    }

    @Test
    void viewIsBehind_fromTheNewsOfAChangeUntilItComes() {
        mNews.onChange(1, 8);
        assertThat(mNews.isBehind(HEARD_MS)).isFalse();
        mNews.onPeerRevision(HEARD_MS, PEER, 9);
        assertThat(mNews.isBehind(HEARD_MS)).isTrue();
        mNews.onChange(HEARD_MS + 300, 9);
        assertThat(mNews.isBehind(HEARD_MS + 300)).isFalse();
    }

    @Test
    void revisionThatNeverComes_countsForSomeSeconds() {
        mNews.onPeerRevision(HEARD_MS, PEER, 9);
        assertThat(mNews.isBehind(HEARD_MS + 9_000)).isTrue();
        assertThat(mNews.isBehind(HEARD_MS + 11_000)).isFalse();
    }

    @Test
    void olderRevision_leadsToNoQuestion() {
        mNews.onChange(1, 9);
        mNews.onPeerRevision(HEARD_MS, PEER, 8);
        runUntil(HEARD_MS + 5_000);
        assertThat(mAsked).isEmpty();
    }

    @Test
    void storm_doesNotPutTheQuestionOff() {
        for (int i = 0; i < 10; i++) {
            mNews.onPeerRevision(HEARD_MS + 50L * i, i % 2 == 0 ? PEER : OTHER, 10 + i);
        }
        runUntil(HEARD_MS + 500);
        assertThat(mAsked).containsExactly("other");
    }
}
