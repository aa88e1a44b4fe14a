package org.hornbeampass.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.service.EvacuatedDomains;
import org.hornbeampass.coordination.service.Placement;
import org.hornbeampass.coordination.service.SendGate;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.state.DomainRegions;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.service.HomeRegions;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Tests what is checked right before a request is sent to the upstream that was chosen for it. */
class SendConditionsTest {
    private static final long DEADLINE_MS = 4_000;
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final Region REGION = new Region("r");

    private final EvacuatedDomains mEvacuated = new EvacuatedDomains();
    private final UpstreamRegistry mRegistry =
            new UpstreamRegistry(
                    new Random(1),
                    () -> 1,
                    new SignalTable(),
                    SendGate.OPEN,
                    new Placement(mEvacuated, DomainRegions.NONE.with(DOMAIN, REGION)),
                    new SlowStarts());

    private SendConditions conditions(HomeRegions homes) {
        return conditions(homes, Optional.empty());
    }

    private SendConditions conditions(HomeRegions homes, Optional<String> version) {
        return new SendConditions(
                mRegistry, homes, new StreamVersion(version, begun -> {}), DEADLINE_MS);
    }

    private UpstreamInstance chosen() {
        mRegistry.onEntry(
                0, new UpstreamEntry("a", OptionalLong.empty(), "s", "a:80", DOMAIN, 6, false));
        ServiceSpec service = new ServiceSpec("s", 10, Optional.empty());
        return mRegistry.choose(0, service, Prompt.NONE, Set.of()).orElseThrow().instance();
    }

    private void changeVersion(String version) {
        mRegistry.onEntry(
                0,
                new UpstreamEntry(
                        "a", OptionalLong.empty(), "s", "a:80", DOMAIN, 6, false, 0, version));
    }

    @Test
    void upstreamThatChangesItsVersionWhileTheConnectionOpens_getsNoStreamOfTheFormerOne() {
        UpstreamInstance upstream = chosen();
        SendConditions conditions = conditions(HomeRegions.ANY, Optional.of("v1"));
        changeVersion("v1");
        assertThat(conditions.obstacle(0, upstream)).isEmpty();
        changeVersion("v2");
        assertThat(conditions.obstacle(0, upstream))
                .contains("the upstream runs another software version");
    }

    @Test
    void chosenUpstream_mayBeSentTheRequestUntilTheDeadline() {
        UpstreamInstance upstream = chosen();
        assertThat(conditions(HomeRegions.ANY).obstacle(DEADLINE_MS - 1, upstream)).isEmpty();
    }

    @Test
    void connectionThatOpensAfterTheDeadline_isNotUsed() {
        UpstreamInstance upstream = chosen();
        assertThat(conditions(HomeRegions.ANY).obstacle(DEADLINE_MS, upstream))
                .contains("the deadline has passed");
    }

    @Test
    void evacuationThatBeginsWhileTheConnectionOpens_stopsTheSend() {
        UpstreamInstance upstream = chosen();
        mEvacuated.begin(10, DOMAIN);
        assertThat(conditions(HomeRegions.ANY).obstacle(20, upstream))
                .contains("the failure domain is evacuated");
        mEvacuated.end(30, DOMAIN);
        assertThat(conditions(HomeRegions.ANY).obstacle(40, upstream)).isEmpty();
    }

    @Test
    void upstreamThatBeginsToLeaveWhileTheConnectionOpens_isNotUsed() {
        UpstreamInstance upstream = chosen();
        mRegistry.onRemoved(10, "a", false);
        assertThat(conditions(HomeRegions.ANY).obstacle(20, upstream)).isPresent();
    }

    @Test
    void upstreamOutsideTheHomeRegions_isNotUsed() {
        UpstreamInstance upstream = chosen();
        HomeRegions home = HomeRegions.of(Set.of(REGION));
        HomeRegions elsewhere = HomeRegions.of(Set.of(new Region("other")));
        assertThat(conditions(home).obstacle(0, upstream)).isEmpty();
        assertThat(conditions(elsewhere).obstacle(0, upstream)).isPresent();
        assertThat(conditions(home.and(elsewhere)).obstacle(0, upstream)).isPresent();
    }
}
