package org.hornbeampass.coordination.config.rule;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.config.UpstreamSpec;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Tests each rule of {@link ConfigRules} with a change that violates it. */
class ConfigRulesTest {
    private static final String HASH = "ab".repeat(32);
    private static final ConfigSnapshot BEFORE =
            ConfigSnapshot.empty()
                    .with(template("desk", Optional.empty(), Optional.empty()))
                    .with(organisation("flights", "desk", "main", HASH))
                    .with(new ConfigChange.PutOperatorKey("chief", HASH));

    @Test
    void validChanges_haveNoFinding() {
        assertAccepted(template("desk", Optional.of(9), Optional.of(1)));
        assertAccepted(organisation("moulds", "desk", "main", "cd".repeat(32)));
        assertAccepted(organisation("flights", "desk", "other", HASH));
        assertAccepted(upstream("http://10.0.0.1:9001", 1));
        assertAccepted(new ConfigChange.DeleteOrganisation(new OrganisationId("flights")));
    }

    @Test
    void deletionOfMissingObject_isRejected() {
        assertFinding(
                new ConfigChange.DeleteUpstream(new UpstreamId("u1")),
                "upstream/u1 does not exist at revision 3");
    }

    @Test
    void malformedNames_areRejected() {
        assertFinding(
                template("a/b", Optional.empty(), Optional.empty()),
                "the name \"a/b\" is not well formed");
        assertFinding(
                organisation("moulds", "desk", "a b", "cd".repeat(32)),
                "the budget \"a b\" is not well formed");
    }

    @Test
    void unknownTemplate_isRejected() {
        assertFinding(
                organisation("moulds", "shop", "main", "cd".repeat(32)),
                "template \"shop\" does not exist; create it first, or name one of [desk]");
    }

    @Test
    void deletionOfUsedTemplate_isRejected() {
        assertFinding(
                new ConfigChange.DeleteTemplate("desk"),
                "template \"desk\" is used by 1 organisations, such as [flights]");
    }

    @Test
    void priorityOutOfRange_isRejected() {
        assertFinding(
                template("desk", Optional.of(10), Optional.empty()), "priority 10 is out of range");
    }

    @Test
    void zeroLimit_isRejected() {
        assertFinding(
                template("desk", Optional.empty(), Optional.of(0)),
                "maxConcurrent 0 is less than 1");
    }

    @Test
    void malformedKeyHashes_areRejected() {
        assertFinding(
                organisation("moulds", "desk", "main", "secret"),
                "a key hash of organisation/moulds is not 64 lower-case hex digits");
        assertFinding(
                new ConfigChange.PutOperatorKey("night", null),
                "a key hash of operator-key/night is not 64 lower-case hex digits");
    }

    @Test
    void keyOfOtherOrganisation_isRejected() {
        assertFinding(
                organisation("moulds", "desk", "main", HASH),
                "organisation flights has one of these keys");
    }

    @Test
    void malformedUpstreamUri_isRejected() {
        assertFinding(upstream("10.0.0.1:9001", 1), "baseUri \"10.0.0.1:9001\" is not well formed");
    }

    @Test
    void zeroUpstreamLimit_isRejected() {
        assertFinding(upstream("http://10.0.0.1:9001", 0), "maxConcurrent 0 is less than 1");
    }

    @Test
    void deletionOfLastOperatorKey_isRejected() {
        assertFinding(
                new ConfigChange.DeleteOperatorKey("chief"),
                "operator-key/chief is the last operator key");
    }

    @Test
    void oversizedChange_isRejected() {
        OrganisationSpec large =
                new OrganisationSpec(
                        new OrganisationId("moulds"),
                        "desk",
                        Parameters.none(),
                        budgets(8_000),
                        Map.of());
        assertFinding(new ConfigChange.PutOrganisation(large), "keep it within 65536 bytes");
    }

    private static void assertAccepted(ConfigChange change) {
        assertThat(ConfigRules.check(BEFORE, change)).isEmpty();
    }

    private static void assertFinding(ConfigChange change, String expected) {
        assertThat(Finding.toFailure(ConfigRules.check(BEFORE, change)).message())
                .contains(expected);
    }

    private static Set<BudgetId> budgets(int count) {
        return java.util.stream.IntStream.range(0, count)
                .mapToObj(n -> new BudgetId("budget-" + n))
                .collect(java.util.stream.Collectors.toSet());
    }

    private static ConfigChange template(
            String name, Optional<Integer> priority, Optional<Integer> maxConcurrent) {
        Parameters none = Parameters.none();
        return new ConfigChange.PutTemplate(
                new Template(
                        name,
                        new Parameters(
                                none.models(),
                                none.adapters(),
                                none.services(),
                                none.workKinds(),
                                priority,
                                none.maxCompletionTokens(),
                                maxConcurrent,
                                none.requestsPerSecond(),
                                none.budgetPreference())));
    }

    private static ConfigChange organisation(
            String id, String template, String budget, String hash) {
        return new ConfigChange.PutOrganisation(
                new OrganisationSpec(
                        new OrganisationId(id),
                        template,
                        Parameters.none(),
                        Set.of(new BudgetId(budget)),
                        Map.of("desk-key", hash)));
    }

    private static ConfigChange upstream(String uri, int maxConcurrent) {
        return new ConfigChange.PutUpstream(
                new UpstreamSpec(
                        new UpstreamId("u1"),
                        uri,
                        Optional.of(new ModelId("briefing")),
                        Optional.empty(),
                        new FailureDomain("d1"),
                        new Region("r1"),
                        true,
                        maxConcurrent));
    }
}
