package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link SpendWithinPaid} on budgets that are overdrawn, over-served and over-billed. */
class SpendWithinPaidTest {
    private final SpendWithinPaid mRule = new SpendWithinPaid();

    @Test
    void spendUpToWhatIsPaid_isFine() {
        assertThat(new Seen().servedChat("a", 10).budget(20, 5, 5).findings(mRule)).isEmpty();
    }

    @Test
    void moreDrawnThanPaid_isFound() {
        assertThat(new Seen().budget(20, 5, 6).findings(mRule))
                .containsExactly("desk: 6 tokens drawn of 5 paid at 20");
    }

    @Test
    void moreServedThanPaidBeforeTheTopUp_isFound() {
        assertThat(
                        new Seen()
                                .servedChat("a", 10)
                                .servedChat("b", 15)
                                .budget(20, 9, 0)
                                .budget(30, 20, 0)
                                .findings(mRule))
                .containsExactly("desk: 10 tokens served of 9 paid at 20");
    }

    @Test
    void moreBilledThanPaidAtTheEnd_isFound() {
        assertThat(new Seen().billed("a", 6).budget(20, 5, 0).findings(mRule))
                .containsExactly("desk: 6 tokens billed of 5 paid at 20");
    }

    @Test
    void aBillWithoutAnyBudget_isFound() {
        assertThat(new Seen().billed("a", 6).findings(mRule))
                .containsExactly("desk: was billed, though nothing was ever paid");
    }
}
