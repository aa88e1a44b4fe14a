package org.hornbeampass.coordination.config;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MembershipView;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Decides by rendezvous hashing which VM of each failure domain watches the platform's log, which
 * one collects reports, and which one of the fleet writes snapshots.
 *
 * <p>A wrong choice, as two VMs with other views make it, costs calls and nothing else. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}; the choice is kept for as long as the
 * view is the same.
 */
final class ConfigRoles {
    private static final String WATCHER = "config-watcher";
    private static final String COLLECTOR = "config-collector";
    private static final String SNAPSHOT_WRITER = "config-snapshot-writer";

    private final VmId mSelf;
    private final Supplier<MembershipView> mView;
    private final Map<FailureDomain, VmId> mCollectors = new HashMap<>();
    private MembershipView mChosenIn;
    private boolean mWatches;
    private boolean mWritesSnapshots;

    ConfigRoles(VmId self, Supplier<MembershipView> view) {
        mSelf = self;
        mView = view;
    }

    boolean watches() {
        choose();
        return mWatches;
    }

    boolean writesSnapshots() {
        choose();
        return mWritesSnapshots;
    }

    /** Returns the collector of a failure domain; empty where no VM of it is live. */
    Optional<VmId> collector(FailureDomain domain) {
        choose();
        return Optional.ofNullable(mCollectors.get(domain));
    }

    private void choose() {
        MembershipView view = mView.get();
        if (view == mChosenIn) {
            return;
        }
        mChosenIn = view;
        Map<FailureDomain, List<Member>> domains =
                view.live().stream().collect(Collectors.groupingBy(Member::domain));
        List<Member> near = domains.getOrDefault(view.self().domain(), List.of());
        mWatches = first(WATCHER, near).filter(mSelf::equals).isPresent();
        mWritesSnapshots = first(SNAPSHOT_WRITER, view.live()).filter(mSelf::equals).isPresent();
        mCollectors.clear();
        domains.forEach(
                (domain, members) ->
                        first(COLLECTOR, members).ifPresent(vm -> mCollectors.put(domain, vm)));
    }

    private static Optional<VmId> first(String role, List<Member> members) {
        Optional<String> name =
                RendezvousHash.choose(role, members.stream().map(Member::name).toList());
        return members.stream()
                .filter(m -> name.filter(m.name()::equals).isPresent())
                .map(Member::vm)
                .findFirst();
    }
}
