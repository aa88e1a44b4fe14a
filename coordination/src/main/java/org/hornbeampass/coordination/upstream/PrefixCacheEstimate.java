package org.hornbeampass.coordination.upstream;

import org.agrona.collections.LongHashSet;
import org.hornbeampass.state.upstream.CacheEvent;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.PrefixDigests;

/**
 * Estimates which prompt prefixes an upstream has cached.
 *
 * <p>The estimate is based on the upstream's delayed cache events and on this VM's own requests. A
 * gap in the events clears it, since an eviction may have been missed. Invariant: it holds at most
 * a fixed number of blocks; the oldest are removed first, and within one prompt the last ones.
 * Guarded by {@link UpstreamTable#lock()}.
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

    /** Returns the estimated number of leading blocks of a prompt that are cached. */
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

    /** Assumes that a whole prompt is cached, since a request of this VM has just run there. */
    void onServed(PrefixDigests prefix) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            add(prefix.at(i));
        }
    }

    /**
     * Applies events; events before the next expected sequence number are duplicates and are
     * skipped.
     */
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

    /** Clears the estimate and the sequence number because a new incarnation has started. */
    void reset() {
        clear();
        mNextSequence = UNKNOWN_SEQUENCE;
    }

    /** Returns the number of gaps in the events so far. */
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
