package org.hornbeampass.coordination.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.RouteKind;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

/** Checks in virtual time which streams may go on by the records in the store. */
class StreamHistoryTest {
    private static final long KEEP_MS = StreamHistory.MIN_KEEP_MS;
    private static final StreamKey KEY = new StreamKey("o", "q");

    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private boolean mStoreAway;
    private long mNowMs = 1_000;

    private final List<Vm> mVms = new ArrayList<>();

    /** One VM with its own list of upstreams. */
    private final class Vm {
        private final UpstreamRegistry mUpstreams = new UpstreamRegistry(new Random(1), () -> 2);
        private final EraGuard mStore = new EraGuard(storeOf());
        private final StreamHistory mHistory;
        private boolean mStale;

        Vm(String name, boolean owner) {
            mHistory =
                    new StreamHistory(
                            mStore,
                            name,
                            () -> 2,
                            mUpstreams.versions(),
                            t -> mStale,
                            () -> owner,
                            new Random(2),
                            new NoListener());
            mStore.addListener(mHistory);
            mHistory.setRoutes(List.of(route(12_000)));
            mVms.add(this);
        }

        void list(String id, String version) {
            mUpstreams.onEntry(
                    mNowMs,
                    new UpstreamEntry(
                            id,
                            OptionalLong.of(1),
                            "s",
                            "127.0.0.1:1",
                            new FailureDomain("d"),
                            4,
                            false,
                            0,
                            version));
        }

        void unlist(String id) {
            mUpstreams.onRemoved(mNowMs, id, false);
        }

        StoredOrigin find(StreamKey key) {
            List<StoredOrigin> found = new ArrayList<>();
            mHistory.find(mNowMs, key, List.of("s"), (t, o) -> found.add(o));
            for (int i = 0; i < 30 && found.isEmpty(); i++) {
                pass(100);
            }
            assertThat(found).hasSize(1);
            return found.get(0);
        }
    }

    /** Ignores all events. */
    private static final class NoListener implements StreamRecordListener {
        @Override
        public void onVersionsRecorded(long nowMs, String service, List<String> versions) {}

        @Override
        public void onRecordFailed(long nowMs, String key, String reason) {}
    }

    private Platform storeOf() {
        return (nowMs, call, done) -> {
            if (mStoreAway) {
                done.accept(nowMs, new PlatformReply.Unavailable("away"));
            } else {
                mPlatform.submit(nowMs, call, done);
            }
        };
    }

    private static Route route(long timeoutMs) {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAMING,
                timeoutMs,
                500,
                1,
                List.of(new Route.Target("s", 1)),
                1,
                true,
                true,
                100);
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 100) {
            mNowMs += 100;
            for (Vm vm : mVms) {
                vm.mUpstreams.tick(mNowMs);
                vm.mHistory.tick(mNowMs);
            }
        }
    }

    private Vm restarted(String name) {
        mVms.clear();
        return new Vm(name, true);
    }

    @Test
    void onlyVersion_isKnownRightAfterTheEndOfAllVms() {
        new Vm("a", true).list("i-1", "v1");
        pass(300);
        Vm vm = restarted("b");
        vm.list("i-1", "v1");
        assertThat(vm.find(KEY).origin()).contains(new StreamOrigin("s", "v1"));
    }

    @Test
    void formerVersion_countsUntilItHasBeenAbsentForTheLifeOfAStream() {
        Vm first = new Vm("a", true);
        first.list("i-1", "v1");
        first.mHistory.setRoutes(List.of(route(40_000)));
        pass(300);
        Vm vm = restarted("b");
        vm.list("i-2", "v2");
        pass(79_000);
        assertThat(vm.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.SEVERAL_VERSIONS);
        pass(2_000);
        assertThat(vm.find(KEY).origin()).contains(new StreamOrigin("s", "v2"));
    }

    @Test
    void absence_isNotMeasuredWhileTheListIsOutdated() {
        Vm vm = new Vm("a", true);
        vm.list("i-1", "v1");
        vm.list("i-2", "v2");
        pass(300);
        vm.unlist("i-1");
        pass(KEEP_MS - 1_000);
        vm.mStale = true;
        pass(1_000);
        vm.mStale = false;
        pass(KEEP_MS - 1_000);
        assertThat(vm.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.SEVERAL_VERSIONS);
    }

    @Test
    void versionThatOnlyAnotherVmHasListed_counts() {
        Vm behind = new Vm("a", true);
        Vm other = new Vm("b", false);
        behind.list("i-1", "v1");
        other.list("i-1", "v1");
        pass(2 * KEEP_MS);
        assertThat(behind.find(KEY).origin()).isPresent();
        other.list("i-2", "v2");
        pass(500);
        assertThat(behind.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.SEVERAL_VERSIONS);
    }

    @Test
    void streamOfOneOfTwoVersions_isFoundAfterTheEndOfItsVm() {
        Vm vm = new Vm("a", true);
        vm.list("i-1", "v1");
        vm.list("i-2", "v2");
        pass(300);
        vm.mHistory.onBegun(mNowMs, KEY, new StreamOrigin("s", "v2"));
        pass(1_100);
        Vm later = restarted("a");
        later.list("i-1", "v1");
        later.list("i-2", "v2");
        StreamKey next = new StreamKey("o", "next");
        pass(300);
        later.mHistory.onBegun(mNowMs, next, new StreamOrigin("s", "v1"));
        pass(1_100);
        assertThat(later.find(KEY).origin()).contains(new StreamOrigin("s", "v2"));
        assertThat(later.find(next).origin()).contains(new StreamOrigin("s", "v1"));
        assertThat(later.find(new StreamKey("p", "q")).reason())
                .isEqualTo(StoredOrigin.Reason.SEVERAL_VERSIONS);
    }

    @Test
    void storeThatDoesNotAnswer_leavesTheOriginUnknown() {
        Vm vm = new Vm("a", true);
        vm.list("i-1", "v1");
        pass(300);
        mStoreAway = true;
        assertThat(vm.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.STORE_UNAVAILABLE);
    }

    @Test
    void restoredStore_isNotTrustedBeforeVmsHaveAddedTheirVersions() {
        Vm vm = new Vm("a", true);
        Vm other = new Vm("b", false);
        vm.list("i-1", "v1");
        other.list("i-1", "v1");
        pass(300);
        MemoryPlatform.Copy copy = mPlatform.copy();
        other.list("i-2", "v2");
        pass(500);
        mPlatform.restore(mNowMs, copy);
        assertThat(vm.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.STORE_RESTORED);
        other.mStore.onEra(mNowMs, 1);
        pass(10_000);
        assertThat(vm.find(KEY).reason()).isEqualTo(StoredOrigin.Reason.SEVERAL_VERSIONS);
    }

    @Test
    void streams_waitForTheFirstRecordOfTheirServiceForASecond() {
        mStoreAway = true;
        Vm vm = new Vm("a", true);
        vm.list("i-1", "v1");
        assertThat(vm.mHistory.awaitsFirstRecord(mNowMs, "s")).isTrue();
        pass(1_100);
        assertThat(vm.mHistory.awaitsFirstRecord(mNowMs, "s")).isFalse();
        assertThat(vm.mHistory.mayBegin(mNowMs, "s", "v1")).isTrue();
        Vm served = new Vm("b", true);
        mStoreAway = false;
        served.list("i-1", "v1");
        pass(100);
        assertThat(served.mHistory.awaitsFirstRecord(mNowMs, "s")).isFalse();
        served.list("i-2", "v2");
        assertThat(served.mHistory.mayBegin(mNowMs, "s", "v1")).isTrue();
        assertThat(served.mHistory.mayBegin(mNowMs, "s", "v2")).isFalse();
    }
}
