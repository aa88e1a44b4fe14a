package org.hornbeampass.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.List;

/** Checks which requests may be sent while a router shuts down. */
class ShutdownPolicyTest {
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final Route ROUTE = route(RouteKind.NON_IDEMPOTENT);

    private static Route route(RouteKind kind) {
        return new Route(
                "r-1",
                "flights.example",
                "/a/",
                kind,
                12_000,
                300,
                1,
                List.of(new Route.Target("desk", 1)),
                1,
                true,
                false,
                0);
    }

    private final ShutdownPolicy mPolicy = new ShutdownPolicy();

    private void beginShutdown(long nowMs) {
        mPolicy.begin(ShutdownSchedule.of(nowMs, 8_000));
    }

    @Test
    void beforeAShutdown_everythingMayBeSent() {
        mPolicy.answerTimes().onAnswered("r-1", 60_000);
        assertThat(mPolicy.acceptsNewRequests(0)).isTrue();
        assertThat(mPolicy.mayStart(0, ROUTE, NO_DEADLINE)).isTrue();
        assertThat(mPolicy.mayGoOn(0, ROUTE, 0, NO_DEADLINE)).isTrue();
    }

    /** Guards against a request that is cut off at the end of the grace period. */
    @ParameterizedTest
    @CsvSource({"2500,5100,true", "2500,5101,false", "6000,1600,true", "6000,1601,false"})
    void requestMayStart_whileAnAnswerOfItsRouteCanEnd(long tookMs, long nowMs, boolean may) {
        mPolicy.answerTimes().onAnswered("r-1", tookMs);
        beginShutdown(0);
        assertThat(mPolicy.mayStart(nowMs, ROUTE, NO_DEADLINE)).isEqualTo(may);
    }

    @Test
    void requestThatMayRunAgain_mayStartWhileMostAnswersCanEnd() {
        for (long tookMs : List.of(1_000L, 1_000L, 6_000L)) {
            mPolicy.answerTimes().onAnswered("r-1", tookMs);
        }
        beginShutdown(0);
        Route repeatable = route(RouteKind.IDEMPOTENT);
        assertThat(mPolicy.mayStart(6_600, repeatable, NO_DEADLINE)).isTrue();
        assertThat(mPolicy.mayStart(6_601, repeatable, NO_DEADLINE)).isFalse();
        assertThat(mPolicy.mayStart(1_601, ROUTE, NO_DEADLINE)).isFalse();
    }

    @Test
    void requestWithAnEarlyDeadline_mayStart() {
        mPolicy.answerTimes().onAnswered("r-1", 6_000);
        beginShutdown(0);
        assertThat(mPolicy.mayStart(5_000, ROUTE, 7_600)).isTrue();
        assertThat(mPolicy.mayStart(5_000, ROUTE, 7_601)).isFalse();
    }

    @Test
    void requestOfARouteWithoutAnswers_mayStartWhileNewOnesAreAccepted() {
        beginShutdown(1_000);
        assertThat(mPolicy.acceptsNewRequests(3_799)).isTrue();
        assertThat(mPolicy.acceptsNewRequests(3_800)).isFalse();
        assertThat(mPolicy.mayStart(3_800, ROUTE, NO_DEADLINE)).isTrue();
        assertThat(mPolicy.mayStart(3_801, ROUTE, NO_DEADLINE)).isFalse();
    }

    @Test
    void lostRequestOfARouteWithoutAnswers_mayGoOnForItsObjective() {
        beginShutdown(0);
        assertThat(mPolicy.mayGoOn(7_300, ROUTE, 0, NO_DEADLINE)).isTrue();
        assertThat(mPolicy.mayGoOn(7_301, ROUTE, 0, NO_DEADLINE)).isFalse();
    }

    @Test
    void streamThatGoesOn_takesWhatIsLeftOfIt() {
        mPolicy.answerTimes().onAnswered("r-1", 4_000);
        beginShutdown(0);
        assertThat(mPolicy.mayGoOn(6_000, ROUTE, 2_400, NO_DEADLINE)).isTrue();
        assertThat(mPolicy.mayGoOn(6_000, ROUTE, 2_399, NO_DEADLINE)).isFalse();
        assertThat(mPolicy.mayGoOn(7_600, ROUTE, 9_000, NO_DEADLINE)).isTrue();
    }

    /** Guards against a process that exits while it still accepts requests. */
    @ParameterizedTest
    @CsvSource({"8000,2800,7600,7800", "30000,2800,29600,29800", "3000,1050,2700,2850"})
    void schedule_followsTheGracePeriod(long graceMs, long acceptMs, long answerMs, long exitMs) {
        assertThat(ShutdownSchedule.of(0, graceMs))
                .isEqualTo(new ShutdownSchedule(acceptMs, answerMs, exitMs));
    }
}
