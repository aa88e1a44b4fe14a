package org.hornbeampass.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.router.flow.Attempt;
import org.hornbeampass.router.flow.RelayProgress;
import org.hornbeampass.router.flow.Retry;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;

import java.util.Set;

/**
 * Tests attempts at upstreams that stop sending: a silent attempt must fail and be retried
 * elsewhere, whereas a slow one or one paused by its caller must not be cancelled.
 */
class HttpAttemptTest {
    private static final long DEADLINE_MS = 60_000;

    private final UpstreamFixture mFixture = new UpstreamFixture();

    @Test
    void upstreamSilentBeforeFirstToken_isCancelledAndRetriedElsewhere() {
        ChatDispatcher dispatcher = chat(true);
        start(dispatcher, 1, RelayProgress.NOTHING);
        mFixture.call(0).head();
        mFixture.advance(4_700);
        assertThat(mFixture.faults()).isEmpty();

        mFixture.advance(200);

        assertThat(mFixture.faults()).singleElement().matches(f -> isSilent(f.outcome()));
        assertThat(mFixture.call(0).cancelled()).isTrue();
        Retry retry =
                dispatcher.decideRetry(
                        mFixture.nowMs(), mFixture.faults().get(0), RelayProgress.NOTHING);
        assertThat(retry).isEqualTo(new Retry.Again(0));
        start(dispatcher, 2, RelayProgress.NOTHING);
        assertThat(mFixture.call(1).uri()).isNotEqualTo(mFixture.call(0).uri());
    }

    @Test
    void upstreamSilentInStream_isCancelledAndResumedAtExactOffset() {
        ChatDispatcher dispatcher = chat(true);
        start(dispatcher, 1, RelayProgress.NOTHING);
        mFixture.call(0).head();
        for (int token = 0; token < 3; token++) {
            mFixture.advance(10);
            mFixture.call(0).token();
        }
        mFixture.advance(2_100);

        assertThat(mFixture.chunks()).isEqualTo(3);
        assertThat(mFixture.faults()).singleElement().matches(f -> isSilent(f.outcome()));
        assertThat(mFixture.call(0).cancelled()).isTrue();
        RelayProgress relayed = new RelayProgress(3, 3);
        assertThat(dispatcher.decideRetry(mFixture.nowMs(), mFixture.faults().get(0), relayed))
                .isEqualTo(new Retry.Again(0));
        start(dispatcher, 2, relayed);
        assertThat(mFixture.call(1).header(UpstreamHeaders.RESUME_OFFSET)).isEqualTo("3");
    }

    @Test
    void slowStream_isNotCancelled() {
        start(chat(true), 1, RelayProgress.NOTHING);
        mFixture.call(0).head();
        mFixture.advance(4_000);
        for (int token = 0; token < 30; token++) {
            mFixture.call(0).token();
            mFixture.advance(900);
        }
        assertThat(mFixture.faults()).isEmpty();
        assertThat(mFixture.chunks()).isEqualTo(30);
    }

    @Test
    void streamPausedByCaller_isNotCancelled() {
        Attempt attempt = start(chat(true), 1, RelayProgress.NOTHING);
        mFixture.call(0).head();
        mFixture.call(0).token();
        attempt.pause();
        mFixture.advance(30_000);
        attempt.resume();
        mFixture.advance(500);
        mFixture.call(0).token();

        assertThat(mFixture.faults()).isEmpty();
    }

    @Test
    void wholeAnswer_hasLongerTimeoutThanStream() {
        start(chat(false), 1, RelayProgress.NOTHING);
        mFixture.advance(19_900);
        assertThat(mFixture.faults()).isEmpty();

        mFixture.advance(200);
        assertThat(mFixture.faults()).singleElement().matches(f -> isSilent(f.outcome()));
    }

    @Test
    void callThatMayNotBeRepeated_runsUntilItsDeadline() {
        ServiceCall call = new ServiceCall("records", "POST", "/", "text/plain", new byte[0]);
        RoutingQuery query = query(WorkTarget.service("records"));
        ServiceDispatcher dispatcher =
                new ServiceDispatcher(mFixture.context(), "r", query, call, false);
        dispatcher.start(mFixture.nowMs(), 1, RelayProgress.NOTHING, mFixture.listener());
        mFixture.advance(DEADLINE_MS - 1);

        assertThat(mFixture.faults()).isEmpty();
        assertThat(mFixture.call(0).cancelled()).isFalse();
    }

    @Test
    void endedAttempt_leavesNoTimer() {
        Attempt attempt = start(chat(true), 1, RelayProgress.NOTHING);
        attempt.cancel(mFixture.nowMs());

        assertThat(mFixture.timers()).isZero();
    }

    private static boolean isSilent(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.SILENT;
    }

    private Attempt start(ChatDispatcher dispatcher, int number, RelayProgress relayed) {
        return dispatcher.start(mFixture.nowMs(), number, relayed, mFixture.listener()).get();
    }

    private ChatDispatcher chat(boolean stream) {
        RoutingQuery query = query(WorkTarget.model(UpstreamFixture.MODEL));
        return new ChatDispatcher(mFixture.context(), "r", query, new byte[0], stream);
    }

    private static RoutingQuery query(WorkTarget target) {
        return new RoutingQuery(
                target,
                new OrganisationId("o"),
                5,
                PrefixDigests.none(),
                Set.of(),
                new Deadline(DEADLINE_MS));
    }
}
