package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Checks the invariants of the request log, such as one bill per id and at most one run per call,
 * over random schedules of faults; and checks that each of these checks detects a broken invariant.
 *
 * <p>{@code -Dhornbeampass.schedules=<number>} sets the number of schedules of the long run.
 */
class LedgerScheduleProperties {
    private static final int STEPS = 40;
    private static final long LONG_RUN_SEED = 20_261_202;

    @Property(seed = "4711", tries = 150)
    void invariants_hold_after_every_step(
            @ForAll("steps") List<LedgerStep> steps, @ForAll long faultSeed) {
        assertThat(new LedgerSchedule(faultSeed, LedgerMutant.NONE).run(steps)).isEmpty();
    }

    @Provide
    Arbitrary<List<LedgerStep>> steps() {
        Arbitrary<LedgerStep.Kind> kinds =
                Arbitraries.frequencyOf(
                        Tuple.of(1, Arbitraries.of(LedgerStep.Kind.BILL, LedgerStep.Kind.CLAIM)),
                        Tuple.of(1, Arbitraries.of(LedgerStep.Kind.class)));
        Arbitrary<LedgerStep> step =
                Combinators.combine(
                                kinds,
                                Arbitraries.integers().between(0, LedgerStep.VMS - 1),
                                Arbitraries.integers().between(0, LedgerStep.IDS - 1),
                                Arbitraries.integers().between(0, LedgerStep.MAX_WAIT_MS))
                        .as(LedgerStep::new);
        return step.list().ofMinSize(1).ofMaxSize(STEPS);
    }

    @ParameterizedTest
    @CsvSource({
        "CREATE_OVERWRITES, ONE_BILL_PER_ID",
        "CREATE_OVERWRITES, FIRST_BILL_STANDS",
        "CREATE_OVERWRITES, SETTLED_IS_CHARGED",
        "CREATE_OVERWRITES, SETTLED_SUMS_TO_BILL",
        "RAISE_SETTLES_WHOLE, SETTLED_IS_CHARGED",
        "RAISE_SETTLES_WHOLE, SETTLED_SUMS_TO_BILL",
        "AMOUNTS_ALTERED, SETTLED_SUMS_TO_BILL",
        "CREATE_OVERWRITES, AUDIT_SUMS_TO_BILLS",
        "CREATE_OVERWRITES, ONE_RUN_PER_CALL",
        "ACKNOWLEDGE_BEFORE_WRITE, ACKNOWLEDGED_IS_DURABLE",
        "RUN_WITHOUT_ANSWER, NOT_RUN_IS_TRUE",
        "RUN_WITHOUT_ANSWER, ONE_RUN_PER_CALL",
        "OUTCOMES_ALTERED, RECORDED_IS_WHAT_RAN",
        "RUN_WHEN_HELD, ONE_RUN_PER_CALL",
        "WITHDRAWALS_DROPPED, NOT_RUN_CAN_RUN_LATER",
    })
    void broken_invariant_is_detected(LedgerMutant mutant, LedgerSchedule.Rule rule) {
        TreeSet<LedgerSchedule.Rule> broken = new TreeSet<>();
        for (int seed = 0; seed < 60 && !broken.contains(rule); seed++) {
            broken.addAll(new LedgerSchedule(seed, mutant).run(steps(seed)));
        }

        assertThat(broken).contains(rule);
    }

    @Test
    void invariants_hold_in_the_long_run() {
        int schedules = Integer.getInteger("hornbeampass.schedules", 20);
        for (long i = 0; i < schedules; i++) {
            long seed = LONG_RUN_SEED + i;
            assertThat(new LedgerSchedule(seed, LedgerMutant.NONE).run(steps(seed)))
                    .as("schedule of seed %d", seed)
                    .isEmpty();
        }
    }

    private static List<LedgerStep> steps(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return Stream.generate(() -> LedgerStep.random(random)).limit(STEPS).toList();
    }
}
