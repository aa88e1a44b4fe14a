package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link LeavingGetsNoWork} on a router that goes on sending to a leaving upstream. */
class LeavingGetsNoWorkTest {
    private final LeavingGetsNoWork mRule = new LeavingGetsNoWork();

    @Test
    void noOfferAfterTheGraceTime_isFine() {
        assertThat(new Seen().left("engine-0", 0).findings(mRule)).isEmpty();
    }

    @Test
    void anOfferAfterTheGraceTime_isFound() {
        assertThat(new Seen().left("engine-0", 2).findings(mRule))
                .containsExactly(
                        "engine-0: 2 attempts were sent to it more than 3000 ms after it began to"
                                + " leave");
    }
}
