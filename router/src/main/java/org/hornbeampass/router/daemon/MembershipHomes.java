package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.address.AddressBook;
import org.hornbeampass.coordination.budget.BudgetHomes;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.Comparator;
import java.util.List;

/**
 * Provides the live VMs and the homes of each organisation to the budget ledger, from the
 * membership and the address book.
 *
 * <p>The nearest VMs come first: those of the same failure domain, then those of the same region.
 * Thread-safe.
 */
final class MembershipHomes implements BudgetHomes {
    private final Membership mMembership;
    private final AddressBook mAddresses;

    MembershipHomes(Membership membership, AddressBook addresses) {
        mMembership = membership;
        mAddresses = addresses;
    }

    @Override
    public List<VmId> live() {
        return nearFirst(mMembership.view().live());
    }

    @Override
    public List<VmId> homes(OrganisationId organisation) {
        return nearFirst(mAddresses.homes(organisation));
    }

    private List<VmId> nearFirst(List<Member> members) {
        Member self = mMembership.view().self();
        return members.stream()
                .sorted(Comparator.comparingInt((Member m) -> distance(self, m)))
                .map(Member::vm)
                .toList();
    }

    private static int distance(Member self, Member other) {
        if (self.domain().equals(other.domain())) {
            return 0;
        }
        return self.region().equals(other.region()) ? 1 : 2;
    }
}
