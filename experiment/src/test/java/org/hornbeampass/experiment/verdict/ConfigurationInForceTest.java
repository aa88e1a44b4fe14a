package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link ConfigurationInForce} on routers that are late and that go back. */
class ConfigurationInForceTest {
    private final ConfigurationInForce mRule = new ConfigurationInForce();

    @Test
    void aRevisionWithinTheBound_isFine() {
        assertThat(
                        new Seen()
                                .accepted(0, 2)
                                .runs(13_000, "vm-0", 1)
                                .runs(13_001, "vm-0", 2)
                                .findings(mRule))
                .isEmpty();
    }

    @Test
    void aLateRevision_isFound() {
        assertThat(new Seen().accepted(0, 2).runs(13_001, "vm-0", 1).findings(mRule))
                .containsExactly(
                        "vm-0: ran revision 1 more than 13000 ms after revision 2 was accepted");
    }

    @Test
    void aRouterOutOfReach_hasTheBoundFromItsReturn() {
        assertThat(
                        new Seen()
                                .accepted(0, 2)
                                .outOfReach("vm-0", 5, 9_000)
                                .runs(22_000, "vm-0", 1)
                                .findings(mRule))
                .isEmpty();
    }

    @Test
    void aRouterBackInReach_isFoundAfterTheBound() {
        assertThat(
                        new Seen()
                                .accepted(0, 2)
                                .outOfReach("vm-0", 5, 9_000)
                                .runs(22_001, "vm-0", 1)
                                .findings(mRule))
                .hasSize(1);
    }

    @Test
    void goingBack_isFound() {
        assertThat(new Seen().runs(1, "vm-0", 3).runs(2, "vm-0", 2).findings(mRule))
                .containsExactly("vm-0: went back from revision 3 to 2");
    }
}
