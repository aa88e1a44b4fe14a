package org.hornbeampass.router.flow;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import java.util.stream.LongStream;

/** Checks the invariants of a chat completion under failures in any order. */
class ChatFlowProperties {
    @Property(seed = "7041", tries = 5_000)
    void callerGetsFullAnswerOrCorrectError_billedOnce(@ForAll long seed) {
        assertThat(new ChatFlowSimulation(seed, false).run()).isEmpty();
    }

    @Example
    void relayingChunksOfAbandonedAttempts_isDetected() {
        long found =
                LongStream.range(0, 2_000)
                        .filter(seed -> !new ChatFlowSimulation(seed, true).run().isEmpty())
                        .count();
        assertThat(found).isPositive();
    }
}
