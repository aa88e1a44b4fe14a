package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.service.HomeRegions;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Tests which VMs answers about addresses prefer. */
class PreferredMembersTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final Region EAST = new Region("east");
    private static final List<Member> ALL =
            List.of(member("n1", NORTH), member("n2", NORTH), member("s1", SOUTH));

    private static Member member(String name, Region region) {
        return new Member(
                new VmId(name, 1),
                name + ":80",
                name + ":81",
                region,
                new FailureDomain("d-" + region),
                MemberState.LIVE);
    }

    private static List<String> select(
            HomeRegions homes, Optional<Region> caller, Set<String> overloaded) {
        return PreferredMembers.select(ALL, homes, caller, Set.of(), overloaded).stream()
                .map(Member::name)
                .toList();
    }

    @Test
    void homesAndTheCallersRegion_arePreferred() {
        HomeRegions south = HomeRegions.of(Set.of(SOUTH));
        assertThat(select(HomeRegions.ANY, Optional.empty(), Set.of())).hasSize(3);
        assertThat(select(south, Optional.empty(), Set.of())).containsExactly("s1");
        assertThat(select(south, Optional.of(NORTH), Set.of())).containsExactly("n1", "n2", "s1");
        assertThat(select(south, Optional.of(EAST), Set.of())).containsExactly("s1");
    }

    @Test
    void homesWithoutAnyVm_areNotEnforced() {
        HomeRegions east = HomeRegions.of(Set.of(EAST));
        assertThat(select(east, Optional.empty(), Set.of())).hasSize(3);
    }

    @Test
    void overloadedVms_areLeftOutWhileTheyAreTheMinority() {
        assertThat(select(HomeRegions.ANY, Optional.empty(), Set.of("n1")))
                .containsExactly("n2", "s1");
        assertThat(select(HomeRegions.ANY, Optional.empty(), Set.of("n1", "n2"))).hasSize(3);
    }

    @Test
    void vmsWithLostServices_areLeftOutWhileTwoOthersRemain() {
        assertThat(selectReaching(Set.of("n1"))).containsExactly("n2", "s1");
        assertThat(selectReaching(Set.of("n1", "n2"))).hasSize(3);
    }

    private static List<String> selectReaching(Set<String> withoutService) {
        return PreferredMembers.select(
                        ALL, HomeRegions.ANY, Optional.empty(), withoutService, Set.of())
                .stream()
                .map(Member::name)
                .toList();
    }
}
