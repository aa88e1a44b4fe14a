package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.upstream.LeavingEvidence;

import java.util.Optional;

/**
 * Decides whether an upstream may get new work, based on evidence about its incarnations.
 *
 * <p>Invariants: the newest known and the last ended incarnation number never decrease; an ended
 * incarnation never gets new work again, so that only a greater incarnation makes the upstream live
 * again. Guarded by {@link UpstreamTable#lock()}.
 */
final class IncarnationTracker {
    private static final long NONE = -1;

    private long mIncarnation;
    private long mLastEnded = NONE;
    private long mLastListed = NONE;
    private long mLiveSinceMs;
    private Optional<LeavingEvidence> mEndEvidence = Optional.empty();

    IncarnationTracker(long nowMs) {
        mLiveSinceMs = nowMs;
    }

    /** Returns whether the newest known incarnation may get new work. */
    boolean isLive() {
        return mIncarnation > mLastEnded;
    }

    /** Returns the newest known incarnation. */
    long incarnation() {
        return mIncarnation;
    }

    /** Returns when this VM first learned of the newest incarnation, in milliseconds. */
    long liveSinceMs() {
        return mLiveSinceMs;
    }

    /**
     * Returns the evidence for the end of the last ended incarnation; empty where none has ended.
     */
    Optional<LeavingEvidence> endEvidence() {
        return mEndEvidence;
    }

    /**
     * Records that an incarnation was seen.
     *
     * @return whether it is the newest known incarnation; state of an earlier one must be ignored
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

    /**
     * Ends an incarnation and all earlier ones. Returns whether the upstream stopped being live by
     * this call.
     */
    boolean onEnded(long nowMs, long incarnation, LeavingEvidence evidence) {
        boolean wasLive = isLive();
        onSeen(nowMs, incarnation);
        if (incarnation > mLastEnded) {
            mLastEnded = incarnation;
            mEndEvidence = Optional.of(evidence);
        }
        return wasLive && !isLive();
    }

    /** Records that a list newer than all previous ones contains an incarnation. */
    void onListed(long nowMs, long incarnation) {
        mLastListed = Math.max(mLastListed, incarnation);
        onSeen(nowMs, incarnation);
    }

    /**
     * Records that a list newer than all previous ones does not contain the upstream. This ends the
     * incarnation that an earlier list contained; an incarnation that no list has contained yet may
     * be newer than this list. Returns whether the upstream stopped being live by this call.
     */
    boolean onNotListed(long nowMs) {
        return mLastListed != NONE && onEnded(nowMs, mLastListed, LeavingEvidence.PLATFORM_LIST);
    }
}
