package org.hornbeampass.coordination.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Checks what one VM stores, tells and asks about the origins of streams. */
class StreamOriginsTest {
    private static final StreamKey KEY = new StreamKey("o", "q");
    private static final StreamOrigin ONE = new StreamOrigin("s", "v1");
    private static final StreamOrigin TWO = new StreamOrigin("s", "v2");
    private static final VmId OTHER = new VmId("vm-1", 1);
    private static final List<Member> OTHERS =
            List.of(
                    new Member(
                            OTHER,
                            "vm-1:1",
                            "vm-1:2",
                            new Region("r"),
                            new FailureDomain("d"),
                            MemberState.LIVE));

    private final Network mNetwork = new Network();
    private final StreamOrigins mOrigins = new StreamOrigins(mNetwork, () -> OTHERS, () -> OTHERS);
    private final List<FoundOrigin> mFound = new ArrayList<>();

    /** Records messages and answers requests. */
    private static final class Network implements PeerNetwork {
        private final List<PeerMessage> mSent = new ArrayList<>();
        private Optional<OriginReply> mReply = Optional.empty();

        @Override
        public void send(String vmName, PeerMessage message) {
            mSent.add(message);
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mSent.add(request);
            done.accept(
                    nowMs,
                    mReply.isPresent()
                            ? Either.right(mReply.get())
                            : Either.left(Failure.of(ErrorKind.INTERNAL, "no reply")));
        }
    }

    private FoundOrigin find(long nowMs) {
        mFound.clear();
        mOrigins.find(nowMs, KEY, (t, found) -> mFound.add(found));
        assertThat(mFound).hasSize(1);
        return mFound.get(0);
    }

    @Test
    void streamThatBeganHere_isToldAndFoundWithoutAMessage() {
        mOrigins.onBegun(0, KEY, ONE);
        assertThat(mNetwork.mSent).containsExactly(new StreamBegun(KEY, ONE));
        assertThat(find(0).origin()).contains(ONE);
        assertThat(mNetwork.mSent).hasSize(1);
    }

    @Test
    void origin_neverChanges() {
        mOrigins.onBegun(0, KEY, ONE);
        mOrigins.onReport(1, OTHER, new StreamBegun(KEY, TWO), reply -> {});
        assertThat(find(1).origin()).contains(ONE);
    }

    /** Guards against a stream that is resumed at a version that may not have begun it. */
    @Test
    void originThatBecomesUncertain_staysSoAndIsTold() {
        StreamOrigin uncertain = StreamOrigin.uncertain("s");
        mOrigins.onBegun(0, KEY, ONE);
        mOrigins.onBegun(1, KEY, uncertain);
        mOrigins.onReport(2, OTHER, new StreamBegun(KEY, ONE), reply -> {});
        assertThat(find(2).origin()).contains(uncertain);
        assertThat(find(2).origin().orElseThrow().hasCertainVersion()).isFalse();
        assertThat(mNetwork.mSent).contains(new StreamBegun(KEY, uncertain));
        assertThat(Json.decode(Json.encode(uncertain), StreamOrigin.class).get())
                .isEqualTo(uncertain);
    }

    @Test
    void originThatNoVmKnows_isUnknown() {
        assertThat(find(0)).isEqualTo(FoundOrigin.unknown(1, 0));
        mNetwork.mReply = Optional.of(new OriginReply(List.of()));
        assertThat(find(0)).isEqualTo(FoundOrigin.unknown(1, 1));
    }

    @Test
    void originThatAnotherVmKnows_isFound() {
        mNetwork.mReply = Optional.of(new OriginReply(List.of(TWO)));
        assertThat(find(0).origin()).contains(TWO);
    }

    @Test
    void request_isAnsweredFromTheStoredOrigins() {
        List<PeerMessage> replies = new ArrayList<>();
        mOrigins.onRequest(0, OTHER, new OriginRequest(KEY), replies::add);
        mOrigins.onReport(1, OTHER, new StreamBegun(KEY, TWO), reply -> {});
        mOrigins.onRequest(2, OTHER, new OriginRequest(KEY), replies::add);
        assertThat(replies)
                .containsExactly(new OriginReply(List.of()), new OriginReply(List.of(TWO)));
    }

    @Test
    void origin_isKeptForAMinute() {
        mOrigins.onBegun(0, KEY, ONE);
        mOrigins.tick(60_000);
        assertThat(mOrigins.size()).isEqualTo(1);
        mOrigins.tick(60_001);
        assertThat(mOrigins.size()).isZero();
    }

    @Test
    void attemptWithoutAnId_isNotAskedFor() {
        mOrigins.find(0, new StreamKey("o", ""), (t, found) -> mFound.add(found));
        assertThat(mFound).containsExactly(FoundOrigin.unknown(0, 0));
        assertThat(mNetwork.mSent).isEmpty();
    }

    @Test
    void attemptWithAnOverlongId_isNotStored() {
        mOrigins.onBegun(0, new StreamKey("o", "x".repeat(257)), ONE);
        assertThat(mOrigins.size()).isZero();
        assertThat(mNetwork.mSent).isEmpty();
    }
}
