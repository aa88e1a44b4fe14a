package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Tests which VMs are the homes of pools, and that these stay the same while other VMs join and
 * leave.
 */
class MemberHomesTest {
    private static final int POOLS = 40;
    private static final int DOMAINS = 5;

    private static Member member(int number) {
        return new Member(
                new VmId("vm-" + number, 1),
                "h",
                "p",
                new Region("r"),
                new FailureDomain("d" + number % DOMAINS),
                MemberState.LIVE);
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i));
        }
        return members;
    }

    private static MemberHomes homesSeenBy(Member self, List<Member> members) {
        MemberHomes homes = new MemberHomes();
        homes.update(self, members, true);
        return homes;
    }

    private static Set<String> homeNames(int pool, List<Member> members) {
        return members.stream()
                .filter(m -> homesSeenBy(m, members).isHome(pool))
                .map(Member::name)
                .collect(Collectors.toSet());
    }

    @Test
    void vmsWithSameMembers_agreeOnThreeHomesInThreeDomains() {
        List<Member> members = members(20);
        Map<String, Member> byName =
                members.stream().collect(Collectors.toMap(Member::name, Function.identity()));
        for (int pool = 0; pool < POOLS; pool++) {
            Set<String> homes = homeNames(pool, members);
            assertThat(homes).hasSize(MemberHomes.HOMES);
            Set<FailureDomain> domains = new HashSet<>();
            homes.forEach(h -> domains.add(byName.get(h).domain()));
            assertThat(domains).hasSize(MemberHomes.HOMES);
            Member other =
                    members.stream().filter(m -> !homes.contains(m.name())).findFirst().get();
            assertThat(homesSeenBy(other, members).otherHomes(pool))
                    .containsExactlyInAnyOrderElementsOf(homes);
        }
    }

    @Test
    void removedVm_movesOnlyItsOwnPools() {
        List<Member> all = members(20);
        List<Member> rest = new ArrayList<>(all);
        Member gone = rest.remove(3);
        for (int pool = 0; pool < POOLS; pool++) {
            Set<String> before = homeNames(pool, all);
            Set<String> after = homeNames(pool, rest);
            if (before.contains(gone.name())) {
                before.retainAll(after);
                assertThat(before).hasSize(MemberHomes.HOMES - 1);
            } else {
                assertThat(after).isEqualTo(before);
            }
        }
    }

    @Test
    void homeInOwnDomain_isAskedFirst() {
        List<Member> members = members(20);
        for (int pool = 0; pool < POOLS; pool++) {
            Set<String> homes = homeNames(pool, members);
            for (Member self : members) {
                List<String> others = homesSeenBy(self, members).otherHomes(pool);
                boolean near =
                        members.stream()
                                .filter(m -> homes.contains(m.name()) && !m.equals(self))
                                .anyMatch(m -> m.domain().equals(self.domain()));
                Member first = member(Integer.parseInt(others.get(0).substring(3)));
                assertThat(first.domain().equals(self.domain())).isEqualTo(near);
            }
        }
    }

    @Test
    void vmWithIncompleteMembers_isNoHome() {
        MemberHomes homes = new MemberHomes();
        homes.update(member(0), List.of(member(0)), false);
        assertThat(homes.isHome(0)).isFalse();
        assertThat(homes.homeCount(0)).isEqualTo(1);
    }

    @Test
    void singleVm_isItsOwnHome() {
        MemberHomes homes = homesSeenBy(member(0), List.of(member(0)));
        assertThat(homes.isHome(0)).isTrue();
        assertThat(homes.otherHomes(0)).isEmpty();
    }
}
