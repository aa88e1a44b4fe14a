package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests {@link RunsAtMostOnce} on a router that repeats a call, and one that invents its answer.
 */
class RunsAtMostOnceTest {
    private final RunsAtMostOnce mRule = new RunsAtMostOnce();

    @Test
    void oneExecution_isFine() {
        assertThat(new Seen().servedOnce("a", "a").executed("a").findings(mRule)).isEmpty();
    }

    @Test
    void twoExecutions_areFound() {
        assertThat(new Seen().servedOnce("a", "a").executed("a").executed("a").findings(mRule))
                .containsExactly("a: was executed 2 times");
    }

    @Test
    void anAnswerWithoutAnExecution_isFound() {
        assertThat(new Seen().servedOnce("a", "a").findings(mRule))
                .containsExactly("a: was answered, and no service executed it");
    }
}
