package org.hornbeampass.coordination.news;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Tests that a VM that the platform does not serve receives changes from a peer, and that a view
 * never goes back to an older version.
 */
class ViewExchangeTest {
    private static final String PREFIX = "config/";
    private static final VmId SELF = new VmId("self", 1);

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final List<String> mSeen = new ArrayList<>();
    private final List<ViewChangesReply> mReplies = new ArrayList<>();
    private final List<PlatformCall> mCalls = new ArrayList<>();
    private boolean mThrottled;
    private boolean mSilent;

    private final Platform mLink =
            (nowMs, call, done) -> {
                mCalls.add(call);
                if (mThrottled) {
                    done.accept(nowMs, new PlatformReply.Throttled());
                } else if (!mSilent) {
                    mStore.submit(nowMs, call, done);
                }
            };
    private final WatchedView mView =
            view(mLink, (t, change) -> mSeen.add(change.value().orElse("deleted")));
    private final WatchedView mPeerView = view(mStore, (t, change) -> {});
    private final ViewExchange mPeer =
            new ViewExchange(Map.of(PREFIX, mPeerView), new Unused(), List::of, new Random(1));
    private final ViewExchange mExchange =
            new ViewExchange(
                    Map.of(PREFIX, mView), new ToPeer(), () -> List.of("peer"), new Random(1));

    private static WatchedView view(
            Platform platform, BiConsumer<Long, PlatformReply.Change> listener) {
        return new WatchedView(
                platform,
                PREFIX,
                Duration.ofSeconds(1),
                0,
                new RetryPolicy(10, 10, 100),
                CatchUpMode.NEWEST_VERSION,
                1,
                listener);
    }

    /** Passes requests directly to the peer. */
    private final class ToPeer implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {}

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mPeer.onRequest(
                    nowMs,
                    SELF,
                    (ViewChangesRequest) request,
                    reply -> {
                        mReplies.add((ViewChangesReply) reply);
                        done.accept(nowMs, Either.right(reply));
                    });
        }
    }

    /** Fails the test on any message. */
    private static final class Unused implements PeerNetwork {
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
            throw new AssertionError("unexpected message");
        }
    }

    private void write(String value, long version) {
        mStore.submit(
                0,
                version == 0
                        ? new PlatformCall.Create("config/main", value)
                        : new PlatformCall.Update("config/main", value, version),
                (t, reply) -> {});
    }

    private void run(long fromMs, long toMs) {
        for (long t = fromMs; t < toMs; t += 50) {
            mStore.expireWatches(t);
            mView.tick(t);
            mPeerView.tick(t);
            mExchange.tick(t);
        }
    }

    @Test
    void throttledVm_receivesChangesFromItsPeer() {
        mThrottled = true;
        write("1", 0);
        run(0, 2_000);
        assertThat(mSeen).containsExactly("1");
        write("2", 1);
        run(2_000, 4_000);
        assertThat(mSeen).containsExactly("1", "2");
    }

    @Test
    void servedVm_requestsNothingFromPeers() {
        write("1", 0);
        run(0, 5_000);
        assertThat(mSeen).containsExactly("1");
        assertThat(mView.failingForMs(5_000)).isZero();
    }

    @Test
    void unchangedObjects_areNotSentAgain() {
        write("1", 0);
        run(0, 1_000);
        mThrottled = true;
        run(1_000, 2_500); // Waits until no watch is open.
        mStore.submit(2_500, new PlatformCall.Create("config/other", "a"), (t, reply) -> {});
        run(2_500, 4_000);
        assertThat(mSeen).containsExactly("1", "a");
        assertThat(
                        mReplies.stream()
                                .flatMap(r -> r.objects().stream())
                                .map(ViewChangesReply.Item::key))
                .containsExactly("config/other");
    }

    @Test
    void deletedObject_isRemovedAtTheRequester() {
        write("1", 0);
        run(0, 1_000);
        mThrottled = true;
        run(1_000, 2_500);
        mStore.submit(2_500, new PlatformCall.Delete("config/main", 1), (t, reply) -> {});
        run(2_500, 4_000);
        assertThat(mSeen).containsExactly("1", "deleted");
    }

    @Test
    void largeChange_whileThrottled_isCopiedFromThePeer() {
        mThrottled = true;
        String large = "1".repeat(ViewRefresher.SMALL_REPLY_BYTES + 1);
        write(large, 0);
        run(0, 2_000);
        assertThat(mSeen).containsExactly(large);
        assertThat(mReplies.stream().filter(r -> !r.objects().isEmpty())).hasSize(1);
    }

    @Test
    void largeChange_whileServed_isReadFromThePlatformDespiteSilentWatch() {
        write("1", 0);
        run(0, 1_000);
        mSilent = true;
        run(1_000, 3_000); // The watch that is renewed now gets no reply.
        mSilent = false;
        String large = "2".repeat(ViewRefresher.SMALL_REPLY_BYTES + 1);
        write(large, 1);
        run(3_000, 4_000);
        assertThat(mSeen).containsExactly("1");
        int calls = mCalls.size();
        mExchange.requestNow(4_000, PREFIX, "peer");
        assertThat(mSeen).containsExactly("1", large);
        assertThat(mReplies).allMatch(r -> r.objects().isEmpty());
        assertThat(mCalls.get(calls)).isInstanceOf(PlatformCall.ListObjects.class);
    }

    @Test
    void largeReply_isNotRepeatedUntilThePreviousOneIsTransmitted() {
        write("1".repeat(100_000), 0);
        run(0, 100);
        ViewChangesRequest request = new ViewChangesRequest(PREFIX, 0, Integer.MAX_VALUE);
        List<Boolean> given = new ArrayList<>();
        for (long t : new long[] {100, 150, 300}) {
            mPeer.onRequest(t, SELF, request, r -> given.add(!((ViewChangesReply) r).leftOut()));
        }
        assertThat(given).containsExactly(true, false, true);
    }

    @Test
    void olderVersion_doesNotReplaceNewerObject() {
        write("1", 0);
        write("2", 1);
        run(0, 1_000);
        mView.mergePeerState(
                1_000,
                Set.of("config/main"),
                List.of(new PlatformReply.StoredObject("config/main", "1", 1)),
                1);
        assertThat(mView.get("config/main").orElseThrow().value()).isEqualTo("2");
    }
}
