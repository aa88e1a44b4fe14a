package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import io.vavr.control.Either;

import org.hornbeampass.coordination.news.ViewChangesReply;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Checks that a change that a silent watch misses is heard of from other VMs.
 *
 * <p>What callers saw: a route that was added was answered 404 while upstreams came and went.
 *
 * <p>The order of events: the connection on which the configuration is watched goes silent; a new
 * configuration is written; upstreams' entries change, which their own watch tells in time.
 *
 * <p>The cause: VMs told each other one revision, the newest of all that they had seen, so that one
 * that had seen a later change of an upstream took itself for informed.
 */
class StoreViewsTest {
    private static final VmId PEER = new VmId("peer", 1);
    private static final String CONFIG = "config/main";

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final List<String> mConfigs = new ArrayList<>();
    private final List<String> mAsked = new ArrayList<>();
    private boolean mConfigWatchIsSilent;
    private final StoreViews mViews =
            new StoreViews(
                    this::submit,
                    "config/",
                    "upstreams/",
                    new InformedPeer(),
                    () -> List.of("peer"),
                    new RelayLog(new MetricRegistry()),
                    (nowMs, revision) -> {},
                    (nowMs, revision) -> {},
                    new Random(1),
                    (nowMs, change) -> mConfigs.add(change.value().orElse("deleted")),
                    (nowMs, change) -> {});

    private void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        boolean configWatch =
                call instanceof PlatformCall.Watch watch && watch.prefix().equals("config/");
        if (!configWatch || !mConfigWatchIsSilent) {
            mStore.submit(nowMs, call, done);
        }
    }

    /** Knows the newest configuration. */
    private final class InformedPeer implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            throw new AssertionError("not expected");
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            ViewChangesRequest asked = (ViewChangesRequest) request;
            mAsked.add(asked.prefix());
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

    /** Shows the first configuration, and begins a watch that is never answered. */
    private void watchInSilence() {
        write(CONFIG, "1", 0);
        run(0, 500);
        mConfigWatchIsSilent = true;
        run(500, 26_000);
        mStore.expireWatches(26_000); // The next watch is silent.
        run(26_000, 26_500);
    }

    @Test
    void configurationThatASilentWatchMisses_isHeardOfWhileUpstreamsChange() {
        watchInSilence();
        write(CONFIG, "2", 1);
        write("upstreams/a", "ready", 0);
        hear(26_500, 2, 3);
        run(26_500, 28_000);
        assertThat(mConfigs).containsExactly("1", "2");
    }

    @Test
    void changeWhileAllVmsLostTheStoresAnswers_isSeenOnceItAnswersAgain() {
        watchInSilence();
        write(CONFIG, "2", 1);
        mConfigWatchIsSilent = false;
        mViews.onStoreRegained(28_000);
        run(28_000, 29_000);
        assertThat(mConfigs).containsExactly("1", "2");
        assertThat(mAsked).isEmpty();
    }

    private void hear(long nowMs, long configRevision, long upstreamsRevision) {
        mViews.onPeerRevision(nowMs, PEER, configRevision);
        mViews.onPeerUpstreamsRevision(nowMs, PEER, upstreamsRevision);
    }
}
