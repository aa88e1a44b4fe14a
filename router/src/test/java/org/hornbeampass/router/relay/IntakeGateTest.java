package org.hornbeampass.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.RouteKind;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests which requests a VM takes in while its event loop is late. */
class IntakeGateTest {
    private static Route route(long objectiveMs) {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAMING,
                10_000,
                objectiveMs,
                0,
                List.of(new Route.Target("s", 1)),
                1,
                false,
                false,
                0);
    }

    @Test
    void shortDelay_admitsAllRequests() {
        assertThat(IntakeGate.admits(route(10), IntakeGate.MIN_DELAY_MS - 1)).isTrue();
    }

    @Test
    void delayOfHalfTheObjective_refusesTheRequest() {
        assertThat(IntakeGate.admits(route(800), 399)).isTrue();
        assertThat(IntakeGate.admits(route(800), 400)).isFalse();
        assertThat(IntakeGate.admits(route(100), IntakeGate.MIN_DELAY_MS)).isFalse();
    }
}
