package org.hornbeampass.standin.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.stream.IntStream;

/** Tests {@link Faults}. */
class FaultsTest {
    private final Faults<Kind> mFaults = new Faults<>(Kind.class, 7);

    /** Kinds for the test. */
    private enum Kind {
        ONE,
        OTHER
    }

    @Test
    void take_withoutRule_neverStrikes() {
        assertThat(mFaults.take(Kind.ONE)).isEmpty();
    }

    @Test
    void take_forNextCalls_strikesJustThese() {
        mFaults.set(Kind.ONE, FaultRule.next(2, 5));

        assertThat(mFaults.take(Kind.ONE)).isPresent();
        assertThat(mFaults.take(Kind.ONE)).isPresent();
        assertThat(mFaults.take(Kind.ONE)).isEmpty();
        assertThat(mFaults.struck()).containsEntry(Kind.ONE, 2L);
    }

    @Test
    void take_byProbability_isTheSameForTheSameSeedWhateverElseIsSet() {
        mFaults.set(Kind.ONE, FaultRule.withProbability(0.5, 0));
        Faults<Kind> same = new Faults<>(Kind.class, 7);
        same.set(Kind.ONE, FaultRule.withProbability(0.5, 0));
        same.set(Kind.OTHER, FaultRule.withProbability(0.5, 0));

        List<Boolean> first = draw(mFaults, false);

        assertThat(first).contains(true, false);
        assertThat(draw(same, true)).isEqualTo(first);
    }

    @Test
    void take_always_strikesEveryCall() {
        mFaults.set(Kind.ONE, FaultRule.always(0));

        assertThat(draw(mFaults, false)).doesNotContain(false);
    }

    private static List<Boolean> draw(Faults<Kind> faults, boolean drawOther) {
        return IntStream.range(0, 50)
                .mapToObj(
                        i -> {
                            if (drawOther) {
                                faults.take(Kind.OTHER);
                            }
                            return faults.take(Kind.ONE).isPresent();
                        })
                .toList();
    }
}
