package org.hornbeampass.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.Placement;
import org.hornbeampass.coordination.service.SendGate;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalListener;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Tests which answers change the rate limit, the pause or the leaving state of an upstream.
 *
 * <p>Guards against applying signals of a wrong upstream or a late answer, and against dropping a
 * rate limit because a refusal or an error does not repeat it.
 */
class AnswerSignalsTest {
    private static final long ASKED_MS = 1_000;
    private static final long RECEIVED_MS = 1_100;
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 100, Optional.empty());

    private final SignalTable mTable = new SignalTable();
    private final UpstreamRegistry mUpstreamRegistry =
            new UpstreamRegistry(
                    new Random(1),
                    () -> 1,
                    mTable,
                    SendGate.OPEN,
                    Placement.unrestricted(),
                    new SlowStarts());
    private final AnswerSignals mSignals =
            new AnswerSignals(
                    new SignalExchange(
                            mUpstreamRegistry,
                            mTable,
                            new NoPeers(),
                            () ->
                                    new BroadcastPaths(
                                            "vm-1", Optional.empty(), List.of(), List.of()),
                            new NoListener()),
                    mUpstreamRegistry.slowStarts(),
                    new RelayLog(new MetricRegistry()));
    private UpstreamInstance mUpstream;

    @BeforeEach
    void addUpstream() {
        mUpstreamRegistry.onEntry(
                0,
                new UpstreamEntry(
                        "i-1", OptionalLong.of(1), "s", "a:80", new FailureDomain("d"), 6, false));
        mUpstream =
                mUpstreamRegistry
                        .choose(0, SERVICE, Prompt.NONE, Set.of())
                        .orElseThrow()
                        .instance();
    }

    private void answer(AnswerOutcome outcome, boolean proven, OptionalDouble limit, long askedMs) {
        mSignals.onAnswer(
                askedMs + RECEIVED_MS - ASKED_MS,
                askedMs,
                mUpstream,
                new AnswerHead(
                        outcome,
                        proven,
                        false,
                        OptionalLong.empty(),
                        limit,
                        OptionalDouble.empty(),
                        OptionalLong.empty()));
    }

    private void answerWithLimit() {
        answer(AnswerOutcome.SUCCEEDED, true, OptionalDouble.of(1), ASKED_MS);
    }

    private OptionalDouble limit() {
        return mTable.get(new UpstreamIncarnation("i-1", 1)).rateLimit().perSecond();
    }

    @Test
    void refusalWithALimit_setsTheLimit() {
        answer(AnswerOutcome.NOT_RUN, false, OptionalDouble.of(1), ASKED_MS);
        assertThat(limit()).hasValue(1);
    }

    @Test
    void sealedAnswerWithoutALimit_removesTheLimit() {
        answerWithLimit();
        answer(AnswerOutcome.SUCCEEDED, true, OptionalDouble.empty(), RECEIVED_MS);
        assertThat(limit()).isEmpty();
    }

    @Test
    void refusalsAndUnsealedAnswersWithoutALimit_keepTheLimit() {
        answerWithLimit();
        answer(AnswerOutcome.NOT_RUN, false, OptionalDouble.empty(), RECEIVED_MS);
        answer(AnswerOutcome.SUCCEEDED, false, OptionalDouble.empty(), RECEIVED_MS);
        answer(AnswerOutcome.FAILED, false, OptionalDouble.empty(), RECEIVED_MS);
        assertThat(limit()).hasValue(1);
    }

    @Test
    void answersOfWrongUpstreamsOrToOtherRequests_setNoLimit() {
        answer(AnswerOutcome.WRONG_UPSTREAM, true, OptionalDouble.of(1), ASKED_MS);
        answer(AnswerOutcome.UNRELATED, true, OptionalDouble.of(1), ASKED_MS);
        assertThat(limit()).isEmpty();
    }

    private void answerWithPause(AnswerOutcome outcome) {
        mSignals.onAnswer(
                RECEIVED_MS,
                ASKED_MS,
                mUpstream,
                new AnswerHead(
                        outcome,
                        false,
                        false,
                        OptionalLong.of(60_000),
                        OptionalDouble.empty(),
                        OptionalDouble.empty(),
                        OptionalLong.empty()));
    }

    @Test
    void answerToAnotherRequest_startsNoPause() {
        answerWithPause(AnswerOutcome.UNRELATED);
        assertThat(mUpstreamRegistry.requestedPauseLeftMs(RECEIVED_MS, "s")).isEmpty();
    }

    @Test
    void refusalOfTheRequest_startsAPause() {
        answerWithPause(AnswerOutcome.NOT_RUN);
        assertThat(mUpstreamRegistry.requestedPauseLeftMs(RECEIVED_MS, "s")).hasValue(60_000);
    }

    @Test
    void answerToAnotherRequest_marksItsUpstreamAsLeaving() {
        mSignals.onAnswer(
                RECEIVED_MS,
                ASKED_MS,
                mUpstream,
                new AnswerHead(
                        AnswerOutcome.UNRELATED,
                        false,
                        true,
                        OptionalLong.empty(),
                        OptionalDouble.empty(),
                        OptionalDouble.empty(),
                        OptionalLong.empty()));
        assertThat(mUpstream.isLeaving()).isTrue();
    }

    /** A network without other VMs. */
    private static final class NoPeers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {}

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {}
    }

    /** Ignores all signals. */
    private static final class NoListener implements SignalListener {
        @Override
        public void onLeaving(long nowMs, UpstreamIncarnation upstream, String toldBy) {}

        @Override
        public void onRateLimit(
                long nowMs, UpstreamIncarnation upstream, OptionalDouble limit, String toldBy) {}
    }
}
