package org.hornbeampass.coordination.config;

import org.hornbeampass.coordination.address.Rendezvous;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MembershipView;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides by rendezvous hashing which VM of each failure domain watches the platform's log, which
 * one collects reports, and which one of the fleet writes snapshots.
 *
 * <p>A wrong choice, as two VMs with other views make it, costs calls and nothing else. Stateless;
 * thread-safe.
 */
final class ConfigRoles {
    private static final String WATCHER = "config-watcher";
    private static final String COLLECTOR = "config-collector";
    private static final String SNAPSHOT_WRITER = "config-snapshot-writer";

    private final VmId mSelf;
    private final Supplier<MembershipView> mView;

    ConfigRoles(VmId self, Supplier<MembershipView> view) {
        mSelf = self;
        mView = view;
    }

    boolean watches() {
        MembershipView view = mView.get();
        return first(WATCHER, view, Optional.of(view.self().domain()))
                .filter(this::isSelf)
                .isPresent();
    }

    boolean writesSnapshots() {
        return first(SNAPSHOT_WRITER, mView.get(), Optional.empty())
                .filter(this::isSelf)
                .isPresent();
    }

    /** Returns the collector of a failure domain; empty where no VM of it is live. */
    Optional<VmId> collector(FailureDomain domain) {
        return first(COLLECTOR, mView.get(), Optional.of(domain)).map(Member::vm);
    }

    private boolean isSelf(Member member) {
        return member.vm().equals(mSelf);
    }

    private static Optional<Member> first(
            String role, MembershipView view, Optional<FailureDomain> domain) {
        return view.live().stream()
                .filter(m -> domain.filter(d -> !d.equals(m.domain())).isEmpty())
                .min(Comparator.comparing(Member::name, Rendezvous.order(role)));
    }
}
