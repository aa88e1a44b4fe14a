package org.hornbeampass.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses the updates for the next message: those sent least often first, up to a size limit.
 *
 * <p>Invariant: each update is sent a number of times that grows with the logarithm of the fleet's
 * size, and is then dropped; receiving the same update from a peer counts as one of these times.
 * Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class UpdateQueue {
    private static final int MIN_SENDS = 2;

    private final Map<String, QueuedUpdate> mQueued = new HashMap<>();
    private final int mMaxBytes;
    private long mNextOrder;

    /** Pending update on one VM. */
    private static final class QueuedUpdate {
        private final String mName;
        private final boolean mWithDetails;
        private final long mOrder;
        private int mSends;

        QueuedUpdate(String name, boolean withDetails, long order) {
            mName = name;
            mWithDetails = withDetails;
            mOrder = order;
        }

        int sends() {
            return mSends;
        }

        long order() {
            return mOrder;
        }
    }

    UpdateQueue(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Queues an update on a VM, replacing an older one. */
    void add(String name, boolean withDetails) {
        QueuedUpdate old = mQueued.get(name);
        boolean details = withDetails || (old != null && old.mWithDetails);
        mQueued.put(name, new QueuedUpdate(name, details, mNextOrder++));
    }

    /**
     * Records that a peer sent the update that is queued here, so that it is sent less often from
     * here.
     */
    void onReceivedFromPeer(String name) {
        QueuedUpdate queued = mQueued.get(name);
        if (queued != null) {
            queued.mSends++;
        }
    }

    private static int bitLength(int fleetSize) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
    }

    /**
     * Returns the updates for one message and counts them as sent.
     *
     * @param first updates that come first and are always included
     * @param fleetSize the number of members
     * @param lookUp finds an entry by name
     */
    List<MemberUpdate> take(
            List<MemberUpdate> first,
            int fleetSize,
            Function<String, Optional<MemberEntry>> lookUp) {
        List<MemberUpdate> taken = new ArrayList<>(first);
        if (mQueued.isEmpty()) {
            return taken;
        }
        int bytes = first.stream().mapToInt(MemberUpdate::encodedBytes).sum();
        int maxSends = MIN_SENDS + bitLength(fleetSize);
        List<QueuedUpdate> ordered = new ArrayList<>(mQueued.values());
        ordered.sort(
                Comparator.comparingInt(QueuedUpdate::sends)
                        .thenComparingLong(QueuedUpdate::order));
        for (QueuedUpdate queued : ordered) {
            Optional<MemberEntry> entry = lookUp.apply(queued.mName);
            if (entry.isEmpty() || queued.mSends >= maxSends) {
                mQueued.remove(queued.mName);
                continue;
            }
            MemberUpdate update = entry.get().toUpdate(queued.mWithDetails);
            bytes += update.encodedBytes();
            if (bytes > mMaxBytes) {
                break;
            }
            taken.add(update);
            if (++queued.mSends >= maxSends) {
                mQueued.remove(queued.mName);
            }
        }
        return taken;
    }
}
