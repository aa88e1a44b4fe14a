package org.hornbeampass.coordination.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/** Checks that each VM asks one that was told, also after losses. */
class OriginHoldersTest {
    private static final int STREAMS = 300;

    private static List<Member> members(int vms, int domains) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            members.add(
                    new Member(
                            new VmId("vm-" + i, 1),
                            "vm-" + i + ":1",
                            "vm-" + i + ":2",
                            new Region("r"),
                            new FailureDomain("d-" + i % domains),
                            MemberState.LIVE));
        }
        return members;
    }

    private static List<Member> without(List<Member> members, Predicate<Member> removed) {
        return members.stream().filter(removed.negate()).toList();
    }

    private static boolean finds(StreamKey key, List<String> told, Member asker, List<Member> up) {
        List<String> asked = OriginHolders.toAsk(key, without(up, asker::equals));
        boolean holdsItself = told.contains(asker.name());
        return holdsItself || asked.stream().anyMatch(told::contains);
    }

    @ParameterizedTest
    @CsvSource({"8,3", "77,3", "390,6", "5,1"})
    void streamOfARouterThatDied_isFoundByEachOtherOne(int vms, int domains) {
        List<Member> all = members(vms, domains);
        Random random = new Random(1);
        for (int i = 0; i < STREAMS; i++) {
            StreamKey key = new StreamKey("o", "q" + i);
            Member dead = all.get(random.nextInt(vms));
            List<Member> others = without(all, dead::equals);
            List<String> told = OriginHolders.toTell(key, others);
            Member asker = others.get(random.nextInt(others.size()));
            assertThat(finds(key, told, asker, all)).isTrue();
            assertThat(finds(key, told, asker, others)).isTrue();
        }
    }

    @ParameterizedTest
    @CsvSource({"8,3", "77,3", "390,6"})
    void streamOfALostFailureDomain_isFoundByEachRouterOfTheOthers(int vms, int domains) {
        List<Member> all = members(vms, domains);
        Random random = new Random(1);
        for (int i = 0; i < STREAMS; i++) {
            StreamKey key = new StreamKey("o", "q" + i);
            Member dead = all.get(random.nextInt(vms));
            List<Member> left = without(all, m -> m.domain().equals(dead.domain()));
            List<String> told =
                    OriginHolders.toTell(key, without(all, dead::equals)).stream()
                            .filter(vm -> left.stream().anyMatch(m -> m.name().equals(vm)))
                            .toList();
            Member asker = left.get(random.nextInt(left.size()));
            assertThat(finds(key, told, asker, all)).isTrue();
        }
    }

    @ParameterizedTest
    @CsvSource({"8,3,3,6", "390,6,3,6"})
    void numberOfMessages_doesNotGrowWithTheFleet(int vms, int domains, int told, int asked) {
        List<Member> others = members(vms, domains).subList(1, vms);
        StreamKey key = new StreamKey("o", "q");
        assertThat(OriginHolders.toTell(key, others)).hasSize(told);
        assertThat(OriginHolders.toAsk(key, others)).hasSize(asked);
    }
}
