package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Checks when a VM requests changes from another VM whose view of the store is newer. */
class ViewRevisionTrackerTest {
    private static final VmId PEER = new VmId("peer", 1);
    private static final VmId OTHER = new VmId("other", 1);
    private static final long RECEIVED_MS = 1_000;

    private final List<Long> mAnnounced = new ArrayList<>();
    private final List<String> mRequested = new ArrayList<>();
    private long mUpToRevision;
    private final ViewRevisionTracker mTracker =
            new ViewRevisionTracker(
                    ViewKind.CONFIGURATION,
                    new RelayLog(new MetricRegistry()),
                    (nowMs, view, revision) -> mAnnounced.add(revision),
                    () -> mUpToRevision,
                    (nowMs, vmName) -> mRequested.add(vmName));

    private void runUntil(long untilMs) {
        for (long t = RECEIVED_MS; t <= untilMs; t += 100) {
            mTracker.tick(t);
        }
    }

    @Test
    void newerChange_isAnnouncedOnce() {
        mTracker.onChange(1, 7);
        mTracker.onChange(2, 5);
        mTracker.onChange(3, 7);
        assertThat(mAnnounced).containsExactly(7L);
    }

    @Test
    void revisionThatTheOwnWatchDeliversInTime_isNotRequested() {
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 9);
        runUntil(RECEIVED_MS + 200);
        mTracker.onChange(RECEIVED_MS + 250, 9);
        runUntil(RECEIVED_MS + 5_000);
        assertThat(mRequested).isEmpty();
    }

    @Test
    void revisionThatTheOwnWatchMisses_isRequestedOnceWithinASecond() {
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 9);
        runUntil(RECEIVED_MS + 1_000);
        assertThat(mRequested).containsExactly("peer");
        runUntil(RECEIVED_MS + 5_000);
        assertThat(mRequested).hasSize(1);
    }

    @Test
    void viewIsBehind_fromAPeersNewerRevisionUntilTheChangeArrives() {
        mTracker.onChange(1, 8);
        assertThat(mTracker.isBehind(RECEIVED_MS)).isFalse();
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 9);
        assertThat(mTracker.isBehind(RECEIVED_MS)).isTrue();
        mTracker.onChange(RECEIVED_MS + 300, 9);
        assertThat(mTracker.isBehind(RECEIVED_MS + 300)).isFalse();
    }

    @Test
    void revisionThatNeverArrives_expiresAfterSomeSeconds() {
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 9);
        assertThat(mTracker.isBehind(RECEIVED_MS + 9_000)).isTrue();
        assertThat(mTracker.isBehind(RECEIVED_MS + 11_000)).isFalse();
    }

    @Test
    void olderRevision_isNotRequested() {
        mTracker.onChange(1, 9);
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 8);
        runUntil(RECEIVED_MS + 5_000);
        assertThat(mRequested).isEmpty();
    }

    @Test
    void revisionUpToWhichNothingChanged_isNotRequested() {
        mTracker.onPeerRevision(RECEIVED_MS, PEER, 9);
        mUpToRevision = 9;
        assertThat(mTracker.isBehind(RECEIVED_MS)).isFalse();
        runUntil(RECEIVED_MS + 5_000);
        assertThat(mRequested).isEmpty();
    }

    @Test
    void viewOfALaterEra_isAnnouncedWithoutAChange() {
        mTracker.onChange(1, 7);
        mUpToRevision = StoreVersion.of(1, 5);
        runUntil(RECEIVED_MS + 500);
        assertThat(mAnnounced).containsExactly(7L, StoreVersion.of(1, 5));
    }

    @Test
    void streamOfNewerRevisions_doesNotDelayTheRequest() {
        for (int i = 0; i < 10; i++) {
            mTracker.onPeerRevision(RECEIVED_MS + 50L * i, i % 2 == 0 ? PEER : OTHER, 10 + i);
        }
        runUntil(RECEIVED_MS + 500);
        assertThat(mRequested).containsExactly("other");
    }
}
