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
 * Chooses by rendezvous hashing, for each failure domain, the VM that watches the log on the
 * platform and the VM that collects revision reports, and for the whole fleet the VM that writes
 * snapshots.
 *
 * <p>VMs with different membership views may choose differently; this costs additional calls but no
 * correctness. The choice is cached until the membership view changes. Not thread-safe: guarded by
 * the lock of {@link ConfigStore}.
 */
final class ConfigRoles {
    private static final String WATCHER = "config-watcher";
    private static final String COLLECTOR = "config-collector";
    private static final String SNAPSHOT_WRITER = "config-snapshot-writer";

    private final VmId mSelf;
    private final Supplier<MembershipView> mView;
    private final Map<FailureDomain, VmId> mCollectors = new HashMap<>();
    private MembershipView mChosenForView;
    private boolean mIsWatcher;
    private boolean mIsSnapshotWriter;

    ConfigRoles(VmId self, Supplier<MembershipView> view) {
        mSelf = self;
        mView = view;
    }

    boolean isWatcher() {
        chooseRoles();
        return mIsWatcher;
    }

    boolean isSnapshotWriter() {
        chooseRoles();
        return mIsSnapshotWriter;
    }

    /**
     * Returns the VM that collects the reports of a failure domain; empty if none of its VMs is
     * live.
     */
    Optional<VmId> collector(FailureDomain domain) {
        chooseRoles();
        return Optional.ofNullable(mCollectors.get(domain));
    }

    private void chooseRoles() {
        MembershipView view = mView.get();
        if (view == mChosenForView) {
            return;
        }
        mChosenForView = view;
        Map<FailureDomain, List<Member>> domains =
                view.live().stream().collect(Collectors.groupingBy(Member::domain));
        List<Member> sameDomain = domains.getOrDefault(view.self().domain(), List.of());
        mIsWatcher = chooseVm(WATCHER, sameDomain).filter(mSelf::equals).isPresent();
        mIsSnapshotWriter =
                chooseVm(SNAPSHOT_WRITER, view.live()).filter(mSelf::equals).isPresent();
        mCollectors.clear();
        domains.forEach(
                (domain, members) ->
                        chooseVm(COLLECTOR, members).ifPresent(vm -> mCollectors.put(domain, vm)));
    }

    private static Optional<VmId> chooseVm(String role, List<Member> members) {
        Optional<String> name =
                RendezvousHash.choose(role, members.stream().map(Member::name).toList());
        return members.stream()
                .filter(m -> name.filter(m.name()::equals).isPresent())
                .map(Member::vm)
                .findFirst();
    }
}
