package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link WholeOwnAnswer} on answers that are short, mixed up and of others. */
class WholeOwnAnswerTest {
    private final WholeOwnAnswer mRule = new WholeOwnAnswer();

    @Test
    void theWholeOwnAnswer_isFine() {
        assertThat(new Seen().answeredChat("a", 10, "ra:0 ra:1 ").findings(mRule)).isEmpty();
    }

    @Test
    void aShortAnswer_isFound() {
        assertThat(new Seen().answeredChat("a", 10, "ra:0 ").findings(mRule)).hasSize(1);
    }

    @Test
    void anotherRequestsAnswer_isFound() {
        assertThat(new Seen().answeredChat("a", 10, "rb:0 rb:1 ").findings(mRule)).hasSize(1);
    }

    @Test
    void aRepeatedToken_isFound() {
        assertThat(new Seen().answeredChat("a", 10, "ra:0 ra:0 ra:1 ").findings(mRule)).hasSize(1);
    }

    @Test
    void theBeginningOfABrokenAnswer_isFine() {
        assertThat(new Seen().brokenChat("a", 10, "ra:0 ra").findings(mRule)).isEmpty();
    }

    @Test
    void aBrokenAnswerWithAGap_isFound() {
        assertThat(new Seen().brokenChat("a", 10, "ra:0 ra:2 ").findings(mRule))
                .containsExactly("a: what arrived of a broken answer is not its own: ra:0 ra:2 ");
    }

    @Test
    void anothersRecord_isFound() {
        assertThat(new Seen().servedOnce("a", "{\"entry\":\"b\"}").findings(mRule)).hasSize(1);
    }
}
