package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How new one thing that all VMs follow is here, and at others, as they told.
 *
 * <p>Invariants: the own revision only grows; a revision is new once for each VM that tells it. Not
 * thread-safe: guarded by the lock of {@link Membership}.
 */
final class PeerRevisions {
    /** A revision heard of for the first time from a VM. */
    record Announcement(VmId from, long revision) {}

    private final Map<String, Long> mByVm = new TreeMap<>();
    private final List<Announcement> mNewer = new ArrayList<>();
    private long mOwn;

    /** Takes this VM's own revision; returns whether it is newer than before. */
    boolean advanceOwn(long revision) {
        if (revision <= mOwn) {
            return false;
        }
        mOwn = revision;
        return true;
    }

    /** Returns this VM's own revision. */
    long own() {
        return mOwn;
    }

    void onAnnouncement(VmId from, long revision) {
        if (revision <= mByVm.getOrDefault(from.name(), 0L)) {
            return;
        }
        mByVm.put(from.name(), revision);
        if (revision > mOwn) {
            mNewer.add(new Announcement(from, revision));
        }
    }

    /** Forgets what a VM told, since it is gone or was started anew. */
    void forget(String vmName) {
        mByVm.remove(vmName);
    }

    /** Returns what is newer than this VM's own, once. */
    List<Announcement> drainNewer() {
        List<Announcement> taken = List.copyOf(mNewer);
        mNewer.clear();
        return taken;
    }
}
