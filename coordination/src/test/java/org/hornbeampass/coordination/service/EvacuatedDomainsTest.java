package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.DomainRegions;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.HomeRegions;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;
import org.junit.jupiter.api.Test;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Tests that upstreams in evacuated failure domains are not chosen. */
class EvacuatedDomainsTest {
    private static final FailureDomain NORTH = new FailureDomain("north");
    private static final FailureDomain SOUTH = new FailureDomain("south");
    private static final ServiceSpec SERVICE = new ServiceSpec("s", 10, Optional.empty());

    private final EvacuatedDomains mEvacuated = new EvacuatedDomains();
    private final UpstreamRegistry mRegistry =
            new UpstreamRegistry(
                    new Random(1),
                    () -> 8,
                    new SignalTable(),
                    SendGate.OPEN,
                    new Placement(mEvacuated, DomainRegions.NONE),
                    new SlowStarts());

    private void addUpstreams() {
        add("n", NORTH);
        add("s", SOUTH);
    }

    private void add(String id, FailureDomain domain) {
        mRegistry.onEntry(
                0, new UpstreamEntry(id, OptionalLong.empty(), "s", id + ":80", domain, 6, false));
    }

    private boolean everChooses(String id) {
        for (int i = 0; i < 100; i++) {
            boolean chosen =
                    mRegistry
                            .choose(0, SERVICE, Prompt.NONE, Set.of())
                            .filter(c -> c.instance().id().equals(id))
                            .isPresent();
            if (chosen) {
                return true;
            }
        }
        return false;
    }

    @Test
    void evacuatedDomain_isNotChosenUntilItsEvacuationEnds() {
        addUpstreams();
        assertThat(everChooses("n")).isTrue();
        mEvacuated.begin(0, NORTH);
        assertThat(everChooses("n")).isFalse();
        assertThat(everChooses("s")).isTrue();
        mEvacuated.end(10, NORTH);
        assertThat(everChooses("n")).isTrue();
    }

    @Test
    void upstreamAddedDuringAnEvacuation_isNotChosen() {
        mEvacuated.begin(0, NORTH);
        addUpstreams();
        assertThat(everChooses("n")).isFalse();
    }

    @Test
    void serviceIsEvacuated_onlyWhereAllItsDomainsAre() {
        addUpstreams();
        mEvacuated.begin(0, NORTH);
        assertThat(mRegistry.isEvacuated(0, "s", HomeRegions.ANY)).isFalse();
        mEvacuated.begin(0, SOUTH);
        assertThat(mRegistry.isEvacuated(0, "s", HomeRegions.ANY)).isTrue();
        assertThat(mRegistry.choose(0, SERVICE, Prompt.NONE, Set.of())).isEmpty();
        assertThat(mRegistry.isEvacuated(0, "unknown", HomeRegions.ANY)).isFalse();
    }

    @Test
    void evacuationReportedTwice_beginsAndEndsOnce() {
        assertThat(mEvacuated.begin(5, NORTH)).isTrue();
        assertThat(mEvacuated.begin(9, NORTH)).isFalse();
        assertThat(mEvacuated.end(25, NORTH)).hasValue(20);
        assertThat(mEvacuated.end(30, NORTH)).isEmpty();
    }
}
