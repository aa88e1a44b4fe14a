package org.hornbeampass.coordination.upstream;

import org.agrona.collections.LongHashSet;
import org.hornbeampass.state.upstream.CacheEvent;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.PrefixDigests;

/**
 * Holds which prefixes an upstream is believed to have cached.
 *
 * <p>Belief comes from the upstream's late cache events and from this VM's own requests. A gap in
 * the events drops all belief, since an eviction may have been missed. Invariant: at most a fixed
 * number of blocks is held; the oldest belief is dropped first, and of one prompt its end. Guarded
 * by the table's lock.
 */
final class PrefixCacheEstimate {
    private static final long UNKNOWN_SEQUENCE = -1;

    private final LongHashSet mDigests = new LongHashSet();
    private final long[] mInsertionOrder;
    private int mNextSlot;
    private long mNextSequence = UNKNOWN_SEQUENCE;
    private long mGaps;

    PrefixCacheEstimate(int maxBlocks) {
        mInsertionOrder = new long[maxBlocks];
    }

    /** Returns how many leading blocks of a prompt are believed to be cached. */
    int matchingBlocks(PrefixDigests prefix) {
        int low = 0;
        int high = prefix.size();
        if (high == 0 || !mDigests.contains(prefix.at(0))) {
            return 0;
        }
        while (low + 1 < high) {
            int middle = (low + high) >>> 1;
            if (mDigests.contains(prefix.at(middle))) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low + 1;
    }

    /** Believes the whole of a prompt to be cached, since a request of this VM just ran there. */
    void onServed(PrefixDigests prefix) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            add(prefix.at(i));
        }
    }

    /** Applies events; those before the next expected number are repeats and are skipped. */
    void apply(CacheEvents batch) {
        long sequence = batch.firstSequence();
        if (mNextSequence != UNKNOWN_SEQUENCE && sequence > mNextSequence) {
            mGaps++;
            clear();
        }
        for (CacheEvent event : batch.events()) {
            if (mNextSequence == UNKNOWN_SEQUENCE || sequence >= mNextSequence) {
                apply(event);
            }
            sequence++;
        }
        mNextSequence = Math.max(mNextSequence, sequence);
    }

    /** Drops all belief and the place in the events, since another life began. */
    void reset() {
        clear();
        mNextSequence = UNKNOWN_SEQUENCE;
    }

    /** Returns how many gaps were met. */
    long gaps() {
        return mGaps;
    }

    private void apply(CacheEvent event) {
        if (event.kind() == CacheEvent.Kind.STORED) {
            add(event.digest());
        } else if (event.kind() == CacheEvent.Kind.REMOVED) {
            mDigests.remove(event.digest());
        } else {
            clear();
        }
    }

    private void add(long digest) {
        if (!mDigests.add(digest)) {
            return;
        }
        mDigests.remove(mInsertionOrder[mNextSlot]);
        mDigests.add(digest);
        mInsertionOrder[mNextSlot] = digest;
        mNextSlot = (mNextSlot + 1) % mInsertionOrder.length;
    }

    private void clear() {
        mDigests.clear();
    }
}
