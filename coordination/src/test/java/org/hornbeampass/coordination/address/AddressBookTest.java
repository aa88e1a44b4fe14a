package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/** Tests {@link AddressBook}. */
class AddressBookTest {
    private static final OrganisationId DESK = new OrganisationId("flight-desk");

    @Test
    void answer_startsWithNearVms_andIncludesOtherDomainsAndRegions() {
        AddressBook book = book(view(48, m -> MemberState.LIVE), 0);

        List<AddressAnswer.VmAddress> answer = book.answer(0, near("r1-d0")).addresses();

        assertThat(answer).hasSize(8);
        assertThat(answer.get(0).domain()).isEqualTo(new FailureDomain("r1-d0"));
        assertThat(answer).extracting(a -> a.domain().value()).contains("r1-d1");
        assertThat(answer).extracting(a -> a.region().value()).contains("r0");
    }

    @Test
    void answer_excludesLeavingAndGoneVms() {
        MembershipView view =
                view(
                        24,
                        n ->
                                n % 3 == 0
                                        ? MemberState.LIVE
                                        : n % 3 == 1 ? MemberState.LEAVING : MemberState.GONE);

        assertThat(book(view, 0).answer(0, AddressQuery.any()).addresses())
                .isNotEmpty()
                .allMatch(a -> number(a.vm()) % 3 == 0);
    }

    @Test
    void answer_withOneLiveVm_appendsSuspects_andExpiresSooner() {
        MembershipView view = view(6, n -> n == 4 ? MemberState.LIVE : MemberState.SUSPECT);

        AddressAnswer answer = book(view, 0).answer(0, AddressQuery.any());

        assertThat(answer.addresses()).hasSize(6);
        assertThat(number(answer.addresses().get(0).vm())).isEqualTo(4);
        assertThat(answer.keepMs()).isEqualTo(AddressSettings.defaults().unsettledKeepMs());
    }

    @Test
    void answers_toManyCallers_areSpreadOverTheHomesOfTheDomain() {
        AddressBook book = book(view(48, m -> MemberState.LIVE), 1_000);
        Set<VmId> first = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            AddressQuery query =
                    new AddressQuery(
                            Optional.of(DESK),
                            Optional.of(new FailureDomain("r0-d0")),
                            Optional.empty());
            first.add(book.answer(0, query).addresses().get(0).vm());
        }

        assertThat(first).hasSizeGreaterThan(3);
    }

    @Test
    void homes_areSpreadOverDomains_andGrowWithDemand() {
        MembershipView view = view(390, m -> MemberState.LIVE);
        List<Member> few = book(view, 0).homes(DESK);
        List<Member> many = book(view, 600).homes(DESK);

        assertThat(few).hasSize(9);
        assertThat(few).extracting(Member::domain).hasSizeGreaterThan(5).doesNotContainNull();
        assertThat(Set.copyOf(few.stream().map(Member::domain).toList())).hasSize(6);
        assertThat(many).hasSize(36).containsAll(few);
        assertThat(book(view, 0).isHome(DESK, few.get(0).vm())).isTrue();
    }

    @Test
    void homes_afterOneVmIsGone_keepAllOthers() {
        Member lost = book(view(390, m -> MemberState.LIVE), 0).homes(DESK).get(0);
        List<Member> before = book(view(390, m -> MemberState.LIVE), 0).homes(DESK);
        MembershipView after =
                view(390, n -> n == number(lost.vm()) ? MemberState.GONE : MemberState.LIVE);

        assertThat(book(after, 0).homes(DESK)).hasSize(9).containsAll(before.subList(1, 9));
    }

    private static AddressBook book(MembershipView view, double requestsPerSecond) {
        return new AddressBook(
                () -> view, o -> requestsPerSecond, AddressSettings.defaults(), new Random(1));
    }

    private static AddressQuery near(String domain) {
        return new AddressQuery(
                Optional.empty(), Optional.of(new FailureDomain(domain)), Optional.empty());
    }

    private static int number(VmId vm) {
        return Integer.parseInt(vm.name().substring(3));
    }

    /** VM n is in region n mod 3 and in one of that region's two failure domains. */
    private static MembershipView view(int size, Function<Integer, MemberState> state) {
        List<Member> members = new ArrayList<>();
        for (int n = 0; n < size; n++) {
            members.add(
                    new Member(
                            new VmId("vm-" + n, 1),
                            "10.0.0." + n + ":80",
                            "10.0.0." + n + ":90",
                            new Region("r" + n % 3),
                            new FailureDomain("r" + n % 3 + "-d" + n / 3 % 2),
                            state.apply(n)));
        }
        return new MembershipView(new VmId("vm-0", 1), members);
    }
}
