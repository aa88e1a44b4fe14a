package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.ListedVm;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides whether an incarnation of a VM has certainly stopped, which suspicion alone never proves.
 *
 * <p>An incarnation is proved gone if a newer incarnation of the same name is known, or if for the
 * whole of {@link MembershipSettings#silenceMs} the platform's lists lacked the name and no sign
 * that the VM is live arrived. For a VM without an entry in the table the silence is counted from
 * the first list, so that a VM that has just started proves nothing. A list with a lower version
 * than the last one is ignored. Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class GoneEvidence {
    private final MemberTable mTable;
    private final long mSilenceMs;
    private final Map<String, ListedVm> mListed = new TreeMap<>();
    private final Map<String, Long> mAbsentSinceMs = new TreeMap<>();
    private long mVersion = Long.MIN_VALUE;
    private long mFirstListMs = Long.MAX_VALUE;
    private long mLastListMs = Long.MIN_VALUE;

    GoneEvidence(MemberTable table, long silenceMs) {
        mTable = table;
        mSilenceMs = silenceMs;
    }

    /** Stores the platform's list; returns false where it is older than the last one. */
    boolean updateList(long nowMs, long version, List<ListedVm> list) {
        if (version < mVersion) {
            return false;
        }
        mVersion = version;
        mFirstListMs = Math.min(mFirstListMs, nowMs);
        mLastListMs = Math.max(mLastListMs, nowMs);
        Map<String, ListedVm> now = new TreeMap<>();
        list.forEach(vm -> now.merge(vm.vm().name(), vm, (a, b) -> isNewer(a, b) ? a : b));
        mListed.keySet().stream()
                .filter(name -> !now.containsKey(name))
                .forEach(name -> mAbsentSinceMs.put(name, nowMs));
        mAbsentSinceMs.keySet().removeAll(now.keySet());
        mListed.clear();
        mListed.putAll(now);
        return true;
    }

    private static boolean isNewer(ListedVm a, ListedVm b) {
        return a.vm().incarnation() > b.vm().incarnation();
    }

    Collection<ListedVm> listed() {
        return mListed.values();
    }

    boolean isProvedGone(VmId vm) {
        if (mTable.hasNewerIncarnation(vm)) {
            return true;
        }
        ListedVm listed = mListed.get(vm.name());
        if (listed != null) {
            return listed.vm().incarnation() > vm.incarnation();
        }
        if (mLastListMs == Long.MIN_VALUE || vm.name().equals(mTable.selfId().name())) {
            return false;
        }
        long absentSinceMs = mAbsentSinceMs.getOrDefault(vm.name(), mFirstListMs);
        long quietSinceMs =
                mTable.entry(vm.name())
                        .map(e -> e.health() == Health.GONE ? e.lastContactMs() : mLastListMs)
                        .orElse(mFirstListMs);
        return mLastListMs - Math.max(absentSinceMs, quietSinceMs) >= mSilenceMs;
    }
}
