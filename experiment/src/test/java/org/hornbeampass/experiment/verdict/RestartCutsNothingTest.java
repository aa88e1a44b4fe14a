package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RestartCutsNothing} on a router that cuts answers as it shuts down. */
class RestartCutsNothingTest {
    private final RestartCutsNothing mRule = new RestartCutsNothing();

    @Test
    void anAnswerCutElsewhen_isFine() {
        assertThat(new Seen().brokenChat("a", 30, "").restarted(10, 30).findings(mRule)).isEmpty();
    }

    @Test
    void anAnswerCutByTheRestart_isFound() {
        assertThat(new Seen().brokenChat("a", 20, "").restarted(10, 30).findings(mRule))
                .containsExactly(
                        "a: its answer was cut by a graceful restart at 127.0.0.1:1 with status"
                                + " 200");
    }

    @Test
    void aRefusalInTheRestart_isFine() {
        assertThat(
                        new Seen()
                                .refusedChat("a", 20, "shutting_down")
                                .restarted(10, 30)
                                .findings(mRule))
                .isEmpty();
    }
}
