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
 * Tests what becomes of attempts at upstreams that fall silent: events → fault and next attempt.
 */
class HttpAttemptTest {
    private static final long DEADLINE_MS = 60_000;

    private final UpstreamWorld mWorld = new UpstreamWorld();

    @Test
    void frozenBeforeFirstToken_isCancelledAndRetriedElsewhere() {
        ChatDispatcher route = chat(true);
        start(route, 1, RelayProgress.NOTHING);
        mWorld.call(0).head();
        mWorld.advance(4_700);
        assertThat(mWorld.faults()).isEmpty();

        mWorld.advance(200);

        assertThat(mWorld.faults()).singleElement().matches(f -> isSilent(f.outcome()));
        assertThat(mWorld.call(0).cancelled()).isTrue();
        Retry retry =
                route.decideRetry(mWorld.nowMs(), mWorld.faults().get(0), RelayProgress.NOTHING);
        assertThat(retry).isEqualTo(new Retry.Again(0));
        start(route, 2, RelayProgress.NOTHING);
        assertThat(mWorld.call(1).uri()).isNotEqualTo(mWorld.call(0).uri());
    }

    @Test
    void frozenInStream_isCancelledAndResumedAtExactOffset() {
        ChatDispatcher route = chat(true);
        start(route, 1, RelayProgress.NOTHING);
        mWorld.call(0).head();
        for (int token = 0; token < 3; token++) {
            mWorld.advance(10);
            mWorld.call(0).token();
        }
        mWorld.advance(2_100);

        assertThat(mWorld.chunks()).isEqualTo(3);
        assertThat(mWorld.faults()).singleElement().matches(f -> isSilent(f.outcome()));
        assertThat(mWorld.call(0).cancelled()).isTrue();
        RelayProgress relayed = new RelayProgress(3, 3);
        assertThat(route.decideRetry(mWorld.nowMs(), mWorld.faults().get(0), relayed))
                .isEqualTo(new Retry.Again(0));
        start(route, 2, relayed);
        assertThat(mWorld.call(1).header(UpstreamHeaders.RESUME_OFFSET)).isEqualTo("3");
    }

    @Test
    void slowButAlive_isNotCut() {
        start(chat(true), 1, RelayProgress.NOTHING);
        mWorld.call(0).head();
        mWorld.advance(4_000);
        for (int token = 0; token < 30; token++) {
            mWorld.call(0).token();
            mWorld.advance(900);
        }
        assertThat(mWorld.faults()).isEmpty();
        assertThat(mWorld.chunks()).isEqualTo(30);
    }

    @Test
    void whileCallerDoesNotRead_isNotCut() {
        Attempt attempt = start(chat(true), 1, RelayProgress.NOTHING);
        mWorld.call(0).head();
        mWorld.call(0).token();
        attempt.pause();
        mWorld.advance(30_000);
        attempt.resume();
        mWorld.advance(500);
        mWorld.call(0).token();

        assertThat(mWorld.faults()).isEmpty();
    }

    @Test
    void wholeAnswer_hasMorePatienceThanStream() {
        start(chat(false), 1, RelayProgress.NOTHING);
        mWorld.advance(19_900);
        assertThat(mWorld.faults()).isEmpty();

        mWorld.advance(200);
        assertThat(mWorld.faults()).singleElement().matches(f -> isSilent(f.outcome()));
    }

    @Test
    void callThatMayNotBeRepeated_isLeftToItsDeadline() {
        ServiceCall call = new ServiceCall("records", "POST", "/", "text/plain", new byte[0]);
        RoutingQuery query = query(WorkTarget.service("records"));
        ServiceDispatcher route = new ServiceDispatcher(mWorld.calls(), "r", query, call, false);
        route.start(mWorld.nowMs(), 1, RelayProgress.NOTHING, mWorld.listener());
        mWorld.advance(DEADLINE_MS - 1);

        assertThat(mWorld.faults()).isEmpty();
        assertThat(mWorld.call(0).cancelled()).isFalse();
    }

    @Test
    void endedAttempt_leavesNoTimer() {
        Attempt attempt = start(chat(true), 1, RelayProgress.NOTHING);
        attempt.cancel(mWorld.nowMs());

        assertThat(mWorld.timers()).isZero();
    }

    private static boolean isSilent(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.SILENT;
    }

    private Attempt start(ChatDispatcher route, int number, RelayProgress relayed) {
        return route.start(mWorld.nowMs(), number, relayed, mWorld.listener()).get();
    }

    private ChatDispatcher chat(boolean stream) {
        RoutingQuery query = query(WorkTarget.model(UpstreamWorld.MODEL));
        return new ChatDispatcher(mWorld.calls(), "r", query, new byte[0], stream);
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
