package org.hornbeampass.coordination.address;

import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The VMs that answers about addresses may name, according to one VM's view.
 *
 * <p>If fewer than half of the other VMs are up, this VM may be the one that is cut off, and
 * callers may still reach the others. Invariants: a VM that is leaving is never named; one that is
 * unreachable is named only if this VM may be cut off, and for a limited time while the platform
 * answers this VM, since then the others may as well have ended. Confined to one thread.
 */
public final class AnswerableMembers {
    private final long mMaxUnreachableMs;
    private final Map<String, Long> mUnreachableSinceMs = new HashMap<>();

    /**
     * Creates the selection.
     *
     * @param maxUnreachableMs how long an unreachable VM may be named, in milliseconds
     */
    public AnswerableMembers(long maxUnreachableMs) {
        mMaxUnreachableMs = maxUnreachableMs;
    }

    /** Records which members are unreachable at present. */
    public void update(long nowMs, MembershipView view) {
        mUnreachableSinceMs.keySet().removeIf(name -> view.member(name).isEmpty());
        for (Member member : view.members()) {
            if (isUnreachable(member)) {
                mUnreachableSinceMs.putIfAbsent(member.name(), nowMs);
            } else {
                mUnreachableSinceMs.remove(member.name());
            }
        }
    }

    private static boolean isUnreachable(Member member) {
        return member.state() == MemberState.SUSPECT || member.state() == MemberState.GONE;
    }

    /**
     * Returns the members that may be named.
     *
     * @param nowMs the present time in milliseconds
     * @param view the members
     * @param platformAnswers whether the platform answers this VM
     */
    public List<Member> select(long nowMs, MembershipView view, boolean platformAnswers) {
        List<Member> named = new ArrayList<>(view.live());
        int others = view.members().size() - view.leaving().size() - 1;
        boolean perhapsCutOff = named.size() - 1 < others / 2.0;
        if (!perhapsCutOff) {
            return named;
        }
        for (Member member : view.members()) {
            Long sinceMs = mUnreachableSinceMs.get(member.name());
            boolean recent = sinceMs != null && nowMs - sinceMs < mMaxUnreachableMs;
            if (isUnreachable(member) && (!platformAnswers || recent)) {
                named.add(member);
            }
        }
        return named;
    }
}
