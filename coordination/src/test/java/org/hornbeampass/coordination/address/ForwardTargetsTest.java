package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Tests which VM handles a request of a VM that has lost its links to the service. */
class ForwardTargetsTest {
    private static final List<Member> OTHERS = List.of(member("a"), member("b"), member("c"));

    private static Member member(String name) {
        return new Member(
                new VmId(name, 1),
                name + ":80",
                name + ":81",
                new Region("r"),
                new FailureDomain("d"),
                MemberState.LIVE);
    }

    private static Set<String> chosen(
            Set<String> withoutService, Set<String> overloaded, Set<String> tried) {
        Random random = new Random(1);
        return IntStream.range(0, 50)
                .mapToObj(
                        i ->
                                ForwardTargets.choose(
                                        OTHERS, withoutService, overloaded, tried, random))
                .flatMap(Optional::stream)
                .map(Member::name)
                .collect(Collectors.toSet());
    }

    @Test
    void requestsAreSpreadOverAllOthers() {
        assertThat(chosen(Set.of(), Set.of(), Set.of())).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void vmWithoutTheService_isNeverChosen() {
        assertThat(chosen(Set.of("a", "b"), Set.of(), Set.of())).containsExactly("c");
        assertThat(chosen(Set.of("a", "b", "c"), Set.of(), Set.of())).isEmpty();
    }

    @Test
    void overloadedVm_isChosenOnlyWithoutAnother() {
        assertThat(chosen(Set.of(), Set.of("a"), Set.of())).containsExactlyInAnyOrder("b", "c");
        assertThat(chosen(Set.of("b", "c"), Set.of("a"), Set.of())).containsExactly("a");
    }

    @Test
    void vmThatWasTried_isNotChosenAgain() {
        assertThat(chosen(Set.of(), Set.of(), Set.of("a", "c"))).containsExactly("b");
    }
}
