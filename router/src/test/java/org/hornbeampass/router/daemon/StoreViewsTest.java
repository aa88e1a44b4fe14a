package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import io.vavr.control.Either;

import org.hornbeampass.coordination.news.ViewChangesReply;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.news.WatchPaths;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Checks that a change that a silent watch misses is received from other VMs.
 *
 * <p>Guards against a VM that considers its configuration current because it has seen later changes
 * of upstreams: an added route was answered 404 while upstreams were added and removed.
 *
 * <p>Sequence: the connection of the configuration's watch becomes silent; a new configuration is
 * written; upstreams' entries change, which their own watch reports in time.
 *
 * <p>Cause: VMs announced only one revision, the newest of all that they had seen, so that a VM
 * that had seen a later change of an upstream considered itself up to date.
 */
class StoreViewsTest {
    private static final VmId PEER = new VmId("peer", 1);
    private static final String CONFIG = "config/main";

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final List<String> mReceivedConfigs = new ArrayList<>();
    private final List<String> mRequestedPrefixes = new ArrayList<>();
    private boolean mConfigWatchIsSilent;
    private final StoreViews mViews =
            new StoreViews(
                    new EraGuard(this::submit),
                    List.of(
                            new StoreViews.Source(
                                    ViewKind.CONFIGURATION,
                                    "config/",
                                    CatchUpMode.NEWEST_VERSION,
                                    (nowMs, change) ->
                                            mReceivedConfigs.add(change.value().orElse("deleted"))),
                            new StoreViews.Source(
                                    ViewKind.UPSTREAMS,
                                    "upstreams/",
                                    CatchUpMode.ALL_VERSIONS,
                                    (nowMs, change) -> {})),
                    new UpToDatePeer(),
                    () -> List.of("peer"),
                    () -> new WatchPaths(true, 0, 1, List.of(), List.of()),
                    new RelayLog(new MetricRegistry()),
                    (nowMs, view, revision) -> {},
                    new Random(1));

    private void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        boolean configWatch =
                call instanceof PlatformCall.Watch watch && watch.prefix().equals("config/");
        if (!configWatch || !mConfigWatchIsSilent) {
            mStore.submit(nowMs, call, done);
        }
    }

    /** Answers requests for changes with the current content of the store. */
    private final class UpToDatePeer implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            throw new AssertionError("unexpected message");
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            ViewChangesRequest asked = (ViewChangesRequest) request;
            mRequestedPrefixes.add(asked.prefix());
            mStore.submit(
                    nowMs,
                    new PlatformCall.ListObjects(asked.prefix(), "", 10),
                    (t, reply) -> {
                        PlatformReply.Listed listed = (PlatformReply.Listed) reply;
                        done.accept(
                                t,
                                Either.right(
                                        new ViewChangesReply(
                                                asked.prefix(),
                                                listed.storeVersion(),
                                                false,
                                                listed.objects().stream()
                                                        .map(PlatformReply.StoredObject::key)
                                                        .toList(),
                                                listed.objects().stream()
                                                        .map(
                                                                o ->
                                                                        new ViewChangesReply.Item(
                                                                                o.key(),
                                                                                o.value(),
                                                                                o.version()))
                                                        .toList())));
                    });
        }
    }

    private void write(String key, String value, long version) {
        mStore.submit(
                0,
                version == 0
                        ? new PlatformCall.Create(key, value)
                        : new PlatformCall.Update(key, value, version),
                (t, reply) -> assertThat(reply).isInstanceOf(PlatformReply.Written.class));
    }

    private void run(long fromMs, long untilMs) {
        for (long t = fromMs; t < untilMs; t += 100) {
            mViews.tick(t);
        }
    }

    /** Reads the first configuration, and starts a watch that is never answered. */
    private void startSilentConfigWatch() {
        write(CONFIG, "1", 0);
        run(0, 500);
        mConfigWatchIsSilent = true;
        run(500, 26_000);
        mStore.expireWatches(26_000); // The next watch is never answered.
        run(26_000, 26_500);
    }

    @Test
    void changeThatASilentWatchMisses_isFetchedFromAPeerWhileUpstreamsChange() {
        startSilentConfigWatch();
        write(CONFIG, "2", 1);
        write("upstreams/a", "ready", 0);
        receivePeerRevisions(26_500, 2, 3);
        run(26_500, 28_000);
        assertThat(mReceivedConfigs).containsExactly("1", "2");
    }

    @Test
    void changeMissedByAllVms_isReadOnceTheStoreAnswersAgain() {
        startSilentConfigWatch();
        write(CONFIG, "2", 1);
        mConfigWatchIsSilent = false;
        mViews.onStoreRegained(28_000);
        run(28_000, 29_000);
        assertThat(mReceivedConfigs).containsExactly("1", "2");
        assertThat(mRequestedPrefixes).isEmpty();
    }

    private void receivePeerRevisions(long nowMs, long configRevision, long upstreamsRevision) {
        mViews.onPeerRevision(nowMs, PEER, ViewKind.CONFIGURATION, configRevision);
        mViews.onPeerRevision(nowMs, PEER, ViewKind.UPSTREAMS, upstreamsRevision);
    }

    /**
     * Guards against a VM that waits for evacuations that it does not watch, and is never ready.
     */
    @Test
    void evacuationsThatAreNotWatched_countAsKnown() {
        assertThat(mViews.evacuationsKnown()).isTrue();
        mViews.onPeerRevision(0, PEER, ViewKind.EVACUATIONS, 7);
        run(0, 500);
        assertThat(mRequestedPrefixes).isEmpty();
    }
}
