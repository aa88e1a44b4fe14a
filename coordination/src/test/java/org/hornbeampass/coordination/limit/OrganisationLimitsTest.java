package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Guards {@link OrganisationLimits} against shares that exceed the configured limits in sum or
 * change too early or too late.
 */
class OrganisationLimitsTest {
    private static final OrganisationId ORG = new OrganisationId("org");
    private static final Set<String> FLEET =
            IntStream.range(0, 8).mapToObj(i -> "vm-" + i).collect(Collectors.toSet());

    @Test
    void concurrencyShares_sumToTheSetting() {
        int started =
                FLEET.stream().mapToInt(vm -> startedAt(0, limits(vm, 21, 100_000), 30)).sum();

        assertThat(started).isEqualTo(21);
    }

    @Test
    void rate_isHeldOverTime() {
        OrganisationLimits limits = limits("vm-0", 10_000, 80);
        int started = 0;
        for (long now = 0; now < 10_000; now += 10) {
            if (limits.tryStart(now, ORG).isEmpty()) {
                started++;
                limits.onEnded(ORG);
            }
        }

        assertThat(started).isBetween(100, 110);
    }

    @Test
    void rateBelowOnePerVm_stillAdmitsRequests() {
        OrganisationLimits limits = limits("vm-0", 10_000, 4);

        assertThat(limits.tryStart(0, ORG)).isEmpty();
        assertThat(limits.tryStart(1_000, ORG).orElseThrow().kind())
                .isEqualTo(ErrorKind.RATE_LIMITED);
        assertThat(limits.tryStart(2_000, ORG)).isEmpty();
    }

    @Test
    void endedRequest_allowsAnother() {
        OrganisationLimits limits = limits("vm-0", 8, 100_000);
        assertThat(limits.tryStart(0, ORG)).isEmpty();
        assertThat(limits.tryStart(0, ORG)).isPresent();
        limits.onEnded(ORG);

        assertThat(limits.tryStart(0, ORG)).isEmpty();
    }

    @Test
    void shareGrows_onlyAfterADelayWhenVmsLeave() {
        OrganisationLimits limits = limits("vm-0", 8, 100_000);
        limits.onLiveVms(1_000, Set.of("vm-0", "vm-1"));

        assertThat(startedAt(10_999, limits, 20)).isEqualTo(1);
        assertThat(startedAt(11_000, limits, 20)).isEqualTo(3);
    }

    @Test
    void shareShrinks_atOnceWhenVmsJoin() {
        OrganisationLimits limits = new OrganisationLimits("vm-0");
        limits.applyConfig(0, config(8, 100_000));
        limits.onLiveVms(1, FLEET);

        assertThat(startedAt(2, limits, 20)).isEqualTo(1);
    }

    @Test
    void unknownOrganisation_isNotPermitted() {
        assertThat(limits("vm-0", 8, 8).tryStart(0, new OrganisationId("x")).orElseThrow().kind())
                .isEqualTo(ErrorKind.NOT_PERMITTED);
    }

    private static int startedAt(long nowMs, OrganisationLimits limits, int tries) {
        return (int)
                IntStream.range(0, tries)
                        .filter(i -> limits.tryStart(nowMs, ORG).isEmpty())
                        .count();
    }

    private static OrganisationLimits limits(String vm, int maxConcurrent, int rate) {
        OrganisationLimits limits = new OrganisationLimits(vm);
        limits.applyConfig(0, config(maxConcurrent, rate));
        limits.onLiveVms(0, FLEET);
        return limits;
    }

    private static ConfigSnapshot config(int maxConcurrent, int rate) {
        Parameters parameters =
                new Parameters(
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(maxConcurrent),
                        Optional.of(rate),
                        Optional.empty());
        return new ConfigSnapshot(
                1,
                Map.of("t", new Template("t", parameters)),
                Map.of(ORG, new OrganisationSpec(ORG, "t", Parameters.none(), Set.of(), Map.of())),
                Map.of());
    }
}
