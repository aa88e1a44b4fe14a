package org.hornbeampass.state.member;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * All router VMs that one VM knows at one moment, itself included.
 *
 * <p>Invariants: one entry per VM name, with its newest known incarnation; lists are ordered by
 * name, so that VMs with the same knowledge have equal views. Immutable; safe for use by any
 * thread.
 */
public final class MembershipView {
    private final VmId mSelf;
    private final TreeMap<String, Member> mByName = new TreeMap<>();
    private final Map<MemberState, List<Member>> mByState;

    /**
     * Creates a view.
     *
     * @param self the VM whose view it is; must be among the members
     * @param members the members, one per name
     * @throws IllegalArgumentException if {@code self} is not among the members
     */
    public MembershipView(VmId self, Collection<Member> members) {
        mSelf = self;
        members.forEach(m -> mByName.put(m.name(), m));
        if (!mByName.containsKey(self.name())) {
            throw new IllegalArgumentException(
                    "the members do not contain the view's own VM " + self);
        }
        mByState =
                mByName.values().stream()
                        .collect(
                                Collectors.groupingBy(
                                        Member::state, Collectors.toUnmodifiableList()));
    }

    /** Returns the VM whose view this is. */
    public Member self() {
        return mByName.get(mSelf.name());
    }

    /** Returns all members, ordered by name. */
    public List<Member> members() {
        return List.copyOf(mByName.values());
    }

    /** Returns the newest known incarnation of a VM; empty if the name is unknown. */
    public Optional<Member> member(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns the members that are live and not suspected. */
    public List<Member> live() {
        return inState(MemberState.LIVE);
    }

    /** Returns the members that are suspected to be gone. */
    public List<Member> suspect() {
        return inState(MemberState.SUSPECT);
    }

    /** Returns the members that are shutting down. */
    public List<Member> leaving() {
        return inState(MemberState.LEAVING);
    }

    /** Returns the members that did not reply for the whole suspicion timeout. */
    public List<Member> gone() {
        return inState(MemberState.GONE);
    }

    /** Returns the members in one state, ordered by name. */
    public List<Member> inState(MemberState state) {
        return mByState.getOrDefault(state, List.of());
    }

    /** Returns the members of one region, in any state. */
    public List<Member> inRegion(Region region) {
        return matching(m -> m.region().equals(region));
    }

    /** Returns the members of one failure domain, in any state. */
    public List<Member> inDomain(FailureDomain domain) {
        return matching(m -> m.domain().equals(domain));
    }

    private List<Member> matching(Predicate<Member> wanted) {
        return mByName.values().stream().filter(wanted).toList();
    }
}
