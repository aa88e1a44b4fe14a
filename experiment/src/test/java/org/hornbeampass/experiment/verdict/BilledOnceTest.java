package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link BilledOnce} on routers that bill twice, never, wrongly and what did not run. */
class BilledOnceTest {
    private final BilledOnce mRule = new BilledOnce();

    @Test
    void oneBillOfWhatTheCallerWasTold_isFine() {
        assertThat(new Seen().servedChat("a", 10).findings(mRule)).isEmpty();
    }

    @Test
    void aSecondBill_isFound() {
        assertThat(new Seen().servedChat("a", 10).billed("a", 5).findings(mRule))
                .containsExactly("a: has 2 bills");
    }

    @Test
    void aServedChatWithoutABill_isFound() {
        assertThat(new Seen().answeredChat("a", 10, "ra:0 ra:1 ").findings(mRule))
                .containsExactly("a: was served by 127.0.0.1:1 at 10 and has no bill");
    }

    @Test
    void aBillOfOtherTokens_isFound() {
        assertThat(new Seen().answeredChat("a", 10, "ra:0 ra:1 ").billed("a", 4).findings(mRule))
                .containsExactly("a: was billed 4 tokens, its caller was told 5, over 1 tries");
    }

    @Test
    void aBillOfWhatDidNotRun_isFound() {
        assertThat(new Seen().refusedChat("a", 10, "overloaded").billed("a", 5).findings(mRule))
                .containsExactly("a: was billed, though all answers said not run");
    }

    @Test
    void aBrokenAnswerMayHaveABill() {
        assertThat(new Seen().brokenChat("a", 10, "ra:0 ").billed("a", 4).findings(mRule))
                .isEmpty();
    }

    @Test
    void totalsThatDifferFromTheBills_areFound() {
        assertThat(new Seen().servedChat("a", 10).billedElsewhere(1).findings(mRule))
                .containsExactly("all bills: the bills come to 5 tokens, the records' totals to 6");
    }
}
