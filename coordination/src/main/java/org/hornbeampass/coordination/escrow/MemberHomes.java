package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the homes of each pool among the members of the fleet, in different failure domains.
 *
 * <p>Invariants: the choice depends only on the pool and the members, so that VMs that know the
 * same members choose the same homes; when a member joins or leaves, only the pools for which it is
 * a home change. Not thread-safe; must be used on one thread.
 */
public final class MemberHomes implements PoolHomes {
    /**
     * The number of homes of each pool. If a single home is lost, all held tokens of a budget are
     * lost, and no VM can serve while it is unresponsive; each further home divides the pool into
     * smaller parts and costs calls to the store.
     */
    public static final int HOMES = 3;

    private final Map<Integer, List<Member>> mHomes = new HashMap<>();
    private List<Member> mMembers = List.of();
    private Optional<Member> mSelf = Optional.empty();
    private boolean mMembersKnown;

    /**
     * Updates the members of the fleet.
     *
     * @param self this VM
     * @param members all VMs that are or may be up, including this one
     * @param membersKnown whether the members are known well enough for this VM to act as a home. A
     *     VM that has just started and knows few others would take tokens that those VMs already
     *     hold.
     */
    public void update(Member self, List<Member> members, boolean membersKnown) {
        mMembersKnown = membersKnown;
        boolean unchanged = mSelf.equals(Optional.of(self)) && mMembers.equals(members);
        if (unchanged) {
            return;
        }
        mSelf = Optional.of(self);
        mMembers = List.copyOf(members);
        mHomes.clear();
    }

    @Override
    public boolean isHome(int pool) {
        return mMembersKnown && homesOf(pool).stream().anyMatch(this::isSelf);
    }

    @Override
    public int homeCount(int pool) {
        return Math.max(1, homesOf(pool).size());
    }

    /**
     * Returns the other homes: first those in this VM's failure domain, then the rest in an order
     * specific to this VM.
     */
    @Override
    public List<String> otherHomes(int pool) {
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        for (Member each : homesOf(pool)) {
            if (!isSelf(each)) {
                boolean sameDomain = each.domain().equals(mSelf.orElseThrow().domain());
                (sameDomain ? near : far).add(each.name());
            }
        }
        String self = mSelf.map(Member::name).orElse("");
        near.addAll(RendezvousHash.choose(self, far, far.size()));
        return near;
    }

    @Override
    public List<String> otherVms() {
        return mMembers.stream().filter(m -> !isSelf(m)).map(Member::name).toList();
    }

    private boolean isSelf(Member member) {
        return mSelf.filter(s -> s.name().equals(member.name())).isPresent();
    }

    private List<Member> homesOf(int pool) {
        return mHomes.computeIfAbsent(pool, this::chooseHomes);
    }

    /** Returns the highest-ranked members for a pool, preferring one from each failure domain. */
    private List<Member> chooseHomes(int pool) {
        Map<String, Member> byName = new TreeMap<>();
        mMembers.forEach(m -> byName.put(m.name(), m));
        List<String> ranked = RendezvousHash.choose("pool-" + pool, byName.keySet(), byName.size());
        List<Member> chosen = new ArrayList<>();
        List<Member> rest = new ArrayList<>();
        Set<FailureDomain> domains = new HashSet<>();
        for (String name : ranked) {
            Member member = byName.get(name);
            (domains.add(member.domain()) ? chosen : rest).add(member);
        }
        chosen.addAll(rest);
        return List.copyOf(chosen.subList(0, Math.min(HOMES, chosen.size())));
    }
}
