package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.upstream.Evidence;

import java.util.Optional;

/**
 * Decides whether an upstream may get new work, from evidence about its lives.
 *
 * <p>Invariants: the known incarnation and the last ended incarnation only grow; an ended life
 * never gets new work again, so only a greater incarnation brings the upstream back. Guarded by the
 * table's lock.
 */
final class IncarnationTracker {
    private static final long NONE = -1;

    private long mIncarnation;
    private long mLastEnded = NONE;
    private long mLastListed = NONE;
    private long mLiveSinceMs;
    private Optional<Evidence> mEndEvidence = Optional.empty();

    IncarnationTracker(long nowMs) {
        mLiveSinceMs = nowMs;
    }

    /** Returns whether this life may get new work. */
    boolean isLive() {
        return mIncarnation > mLastEnded;
    }

    /** Returns the greatest incarnation that was heard of. */
    long incarnation() {
        return mIncarnation;
    }

    /** Returns when this life began as far as this VM knows, in milliseconds. */
    long liveSinceMs() {
        return mLiveSinceMs;
    }

    /** Returns what ended the last life that ended; empty where none did. */
    Optional<Evidence> endEvidence() {
        return mEndEvidence;
    }

    /**
     * Notes that a life was seen.
     *
     * @return whether it is the newest life; news of an earlier one is to be ignored
     */
    boolean onSeen(long nowMs, long incarnation) {
        if (incarnation < mIncarnation) {
            return false;
        }
        if (incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mLiveSinceMs = nowMs;
        }
        return true;
    }

    /** Ends a life and all earlier ones. Returns whether the present life ended just now. */
    boolean onEnded(long nowMs, long incarnation, Evidence evidence) {
        boolean wasLive = isLive();
        onSeen(nowMs, incarnation);
        if (incarnation > mLastEnded) {
            mLastEnded = incarnation;
            mEndEvidence = Optional.of(evidence);
        }
        return wasLive && !isLive();
    }

    /** Notes that a list newer than all before shows a life. */
    void onListed(long nowMs, long incarnation) {
        mLastListed = Math.max(mLastListed, incarnation);
        onSeen(nowMs, incarnation);
    }

    /**
     * Notes that a list newer than all before does not show the upstream: the life that an earlier
     * list showed has ended; one that no list ever showed may be too new for it.
     */
    boolean onNotListed(long nowMs) {
        return mLastListed != NONE && onEnded(nowMs, mLastListed, Evidence.LIST);
    }
}
