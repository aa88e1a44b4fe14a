package org.hornbeampass.experiment.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** Tests that each rule stands in the verdict: a router that breaks it alone makes it fail. */
class VerdictTest {
    /** A router that is right in all but one thing, by the rule that it breaks. */
    private static final Map<String, UnaryOperator<Seen>> BROKEN =
            Map.of(
                    "SpendWithinPaid", seen -> seen.budget(30, 5, 6),
                    "BilledOnce", seen -> seen.billed("right", 5),
                    "WholeOwnAnswer",
                            seen -> seen.answeredChat("a", 10, "ra:0 ").ran("a").billed("a", 5),
                    "NotRunIsTrue", seen -> seen.refusedChat("a", 10, "overloaded").ran("a"),
                    "RunsAtMostOnce", seen -> seen.servedOnce("a", "a").executed("a").executed("a"),
                    "LeavingGetsNoWork", seen -> seen.left("engine-0", 1),
                    "RestartCutsNothing", seen -> seen.brokenChat("a", 20, "").restarted(10, 30),
                    "ConfigurationInForce", seen -> seen.runs(40, "vm-0", 1),
                    "LedgersReconcile", seen -> seen.auditSays("breach"));

    private static Seen right() {
        return new Seen()
                .servedChat("right", 10)
                .servedOnce("once", "once")
                .executed("once")
                .budget(20, 1_000, 10)
                .left("engine-1", 0)
                .accepted(0, 2)
                .runs(30, "vm-0", 2);
    }

    @Test
    void aRightRouter_passes() {
        assertThat(Verdict.of(right().observation()).findings()).isEmpty();
    }

    @Test
    void eachRule_hasABrokenRouter() {
        assertThat(BROKEN.keySet())
                .containsExactlyInAnyOrderElementsOf(
                        VerdictRules.all().stream().map(VerdictRule::name).toList());
    }

    @Test
    void aRouterThatBreaksOneRule_failsByThatRuleAlone() {
        BROKEN.forEach(
                (rule, broken) -> {
                    Verdict verdict = Verdict.of(broken.apply(right()).observation());
                    List<String> rules = verdict.findings().stream().map(Finding::rule).toList();
                    assertThat(verdict.passes()).as(rule).isFalse();
                    assertThat(rules).containsOnly(rule);
                });
    }
}
