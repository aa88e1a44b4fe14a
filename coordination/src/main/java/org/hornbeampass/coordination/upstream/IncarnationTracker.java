package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.upstream.LeavingEvidence;

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
    private long mEndedUpTo = NONE;
    private long mListed = NONE;
    private long mLiveSinceMs;
    private Optional<LeavingEvidence> mEvidence = Optional.empty();

    IncarnationTracker(long nowMs) {
        mLiveSinceMs = nowMs;
    }

    /** Returns whether this life may get new work. */
    boolean live() {
        return mIncarnation > mEndedUpTo;
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
    Optional<LeavingEvidence> endEvidence() {
        return mEvidence;
    }

    /**
     * Notes that a life was seen.
     *
     * @return whether it is the newest life; news of an earlier one is to be ignored
     */
    boolean seen(long nowMs, long incarnation) {
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
    boolean ended(long nowMs, long incarnation, LeavingEvidence evidence) {
        boolean wasLive = live();
        seen(nowMs, incarnation);
        if (incarnation > mEndedUpTo) {
            mEndedUpTo = incarnation;
            mEvidence = Optional.of(evidence);
        }
        return wasLive && !live();
    }

    /** Notes that a list newer than all before shows a life. */
    void listed(long nowMs, long incarnation) {
        mListed = Math.max(mListed, incarnation);
        seen(nowMs, incarnation);
    }

    /**
     * Notes that a list newer than all before does not show the upstream: the life that an earlier
     * list showed has ended; one that no list ever showed may be too new for it.
     */
    boolean notListed(long nowMs) {
        return mListed != NONE && ended(nowMs, mListed, LeavingEvidence.PLATFORM_LIST);
    }
}
