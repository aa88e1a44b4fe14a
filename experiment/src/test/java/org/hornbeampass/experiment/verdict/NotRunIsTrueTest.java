package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link NotRunIsTrue} on a router that says "not run" of what ran. */
class NotRunIsTrueTest {
    private final NotRunIsTrue mRule = new NotRunIsTrue();

    @Test
    void aRefusalOfWhatNobodyRan_isFine() {
        assertThat(new Seen().refusedChat("a", 10, "overloaded").ran("b").findings(mRule))
                .isEmpty();
    }

    @Test
    void aRefusalOfWhatAnEngineRan_isFound() {
        assertThat(new Seen().refusedChat("a", 10, "overloaded").ran("a").findings(mRule))
                .containsExactly(
                        "a: an upstream ran it, though every answer said not run; the last was"
                                + " overloaded");
    }

    @Test
    void aRefusalOfWhatAServiceExecuted_isFound() {
        assertThat(new Seen().refusedChat("a", 10, "overloaded").executed("a").findings(mRule))
                .hasSize(1);
    }

    @Test
    void aBrokenAnswerOfWhatRan_isFine() {
        assertThat(new Seen().brokenChat("a", 10, "").ran("a").findings(mRule)).isEmpty();
    }
}
