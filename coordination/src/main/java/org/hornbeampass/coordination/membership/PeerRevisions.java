package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Revisions of one kind of shared data, at this VM and as announced by its peers.
 *
 * <p>Invariants: this VM's own revision only grows; each revision of a peer is reported once. Not
 * thread-safe: guarded by the lock of {@link Membership}.
 */
final class PeerRevisions {
    /** A revision that a VM announced for the first time. */
    record Announcement(VmId from, long revision) {}

    private final Map<String, Long> mByVm = new TreeMap<>();
    private final List<Announcement> mNewer = new ArrayList<>();
    private long mOwn;

    /** Sets this VM's own revision; returns whether it is newer than before. */
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

    /** Removes the revision that a VM announced, since the VM is gone or has restarted. */
    void forget(String vmName) {
        mByVm.remove(vmName);
    }

    /** Returns and clears the announcements that were newer than this VM's own revision. */
    List<Announcement> drainNewer() {
        List<Announcement> taken = List.copyOf(mNewer);
        mNewer.clear();
        return taken;
    }
}
