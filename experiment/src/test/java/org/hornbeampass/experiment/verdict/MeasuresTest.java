package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.Map;

/** Tests {@link Measures} on what was seen. */
class MeasuresTest {
    @Test
    void refusalWhileTheBudgetCoversIt_isFalse() {
        Measures measures =
                Measures.of(
                        new Seen()
                                .budget(5, 20, 0)
                                .refusedChat("a", 10, "budget_unreachable")
                                .observation());

        assertThat(measures.falseRefusals()).isEqualTo(1);
        assertThat(measures.refusals()).isEqualTo(Map.of("budget_unreachable", 1L));
        assertThat(measures.falseRefusalsBy()).isEqualTo(Map.of("desk", 1L));
    }

    @Test
    void refusalOnceTheBudgetIsSpent_isTrue() {
        Measures measures =
                Measures.of(
                        new Seen()
                                .budget(5, 14, 0)
                                .servedChat("a", 8)
                                .refusedChat("b", 10, "budget_exhausted")
                                .observation());

        assertThat(measures.falseRefusals()).isZero();
        assertThat(measures.served()).isEqualTo(1);
    }

    @Test
    void refusalBeyondALoweredLimit_isTrueThoughHoldersHoldMore() {
        Measures measures =
                Measures.of(
                        new Seen()
                                .loweredBudget(5, 100, 9)
                                .refusedChat("a", 10, "budget_exhausted")
                                .observation());

        assertThat(measures.falseRefusals()).isZero();
    }

    @Test
    void billsBeyondWhatIsPaid_areOverspend() {
        Measures measures = Measures.of(new Seen().budget(5, 3, 0).billed("a", 5).observation());

        assertThat(measures.overspendTokens()).isEqualTo(2);
    }

    @Test
    void twoRunsOfOneRequestAndOneOfAnother_areOneAndAHalfEach() {
        Measures measures = Measures.of(new Seen().ran("a").ran("a").ran("b").observation());

        assertThat(measures.attemptsPerRequest()).isEqualTo(1.5);
    }
}
