package org.hornbeampass.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses the news that the next message carries: what was sent least often first, within a size.
 *
 * <p>Invariant: each piece of news is sent a number of times that grows with the logarithm of the
 * fleet, and then dropped; that a peer tells it too counts as one of these times. Not thread-safe:
 * guarded by the lock of {@link Membership}.
 */
final class UpdateQueue {
    private static final int MIN_SENDS = 2;

    private final Map<String, QueuedUpdate> mQueued = new HashMap<>();
    private final int mMaxBytes;
    private long mNextOrder;

    /** One VM of which there is news. */
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

    /** Adds news of a VM, in place of older news of it. */
    void add(String name, boolean withDetails) {
        QueuedUpdate old = mQueued.get(name);
        boolean details = withDetails || (old != null && old.mWithDetails);
        mQueued.put(name, new QueuedUpdate(name, details, mNextOrder++));
    }

    /** Notes that a peer told what is queued here, so that fewer need to hear it from us. */
    void onReceivedFromPeer(String name) {
        QueuedUpdate news = mQueued.get(name);
        if (news != null) {
            news.mSends++;
        }
    }

    private static int bitLength(int fleetSize) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
    }

    /**
     * Takes the updates for one message.
     *
     * @param first updates that go first in any case
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
        for (QueuedUpdate news : ordered) {
            Optional<MemberEntry> entry = lookUp.apply(news.mName);
            if (entry.isEmpty() || news.mSends >= maxSends) {
                mQueued.remove(news.mName);
                continue;
            }
            MemberUpdate update = entry.get().toUpdate(news.mWithDetails);
            bytes += update.encodedBytes();
            if (bytes > mMaxBytes) {
                break;
            }
            taken.add(update);
            if (++news.mSends >= maxSends) {
                mQueued.remove(news.mName);
            }
        }
        return taken;
    }
}
