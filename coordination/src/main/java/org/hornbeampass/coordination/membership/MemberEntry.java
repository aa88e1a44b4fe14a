package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.Optional;

/**
 * Newest known incarnation of one VM name, with its reported health.
 *
 * <p>Invariant: {@code leaving} is never reset. Not thread-safe: guarded by the lock of {@link
 * Membership}.
 */
final class MemberEntry {
    private final VmId mVm;
    private final MemberDetails mDetails;
    private long mCounter;
    private Health mHealth;
    private boolean mLeaving;
    private long mChangedMs;
    private long mLastContactMs;

    MemberEntry(long nowMs, MemberUpdate update, MemberDetails details) {
        mVm = update.vm();
        mDetails = details;
        mLastContactMs = nowMs;
        setHealth(nowMs, update.counter(), update.health());
        mLeaving = update.leaving();
    }

    VmId vm() {
        return mVm;
    }

    String name() {
        return mVm.name();
    }

    MemberDetails details() {
        return mDetails;
    }

    Region region() {
        return mDetails.region();
    }

    FailureDomain domain() {
        return mDetails.domain();
    }

    long counter() {
        return mCounter;
    }

    Health health() {
        return mHealth;
    }

    boolean leaving() {
        return mLeaving;
    }

    /**
     * Returns when the health or the counter last changed, in milliseconds; later by the pauses
     * that {@link #extendSuspicion} added.
     */
    long changedMs() {
        return mChangedMs;
    }

    /**
     * Returns when the last message from the VM, or report that it is live, arrived, in
     * milliseconds.
     */
    long lastContactMs() {
        return mLastContactMs;
    }

    void recordContact(long nowMs) {
        mLastContactMs = Math.max(mLastContactMs, nowMs);
    }

    void setHealth(long nowMs, long counter, Health health) {
        mCounter = counter;
        mHealth = health;
        mChangedMs = nowMs;
    }

    void extendSuspicion(long byMs) {
        mChangedMs += byMs;
    }

    void markLeaving() {
        mLeaving = true;
    }

    MemberUpdate toUpdate(boolean withDetails) {
        Optional<MemberDetails> details = withDetails ? Optional.of(mDetails) : Optional.empty();
        return MemberUpdate.of(mVm, mCounter, mHealth, mLeaving, details);
    }

    /** Returns a hash of the state on which two tables have to agree; 0 for a VM that is gone. */
    long digest() {
        if (mHealth == Health.GONE) {
            return 0;
        }
        long hash = mVm.name().hashCode() * 0x9E3779B97F4A7C15L;
        hash = mix(hash ^ mVm.incarnation());
        hash = mix(hash ^ mCounter);
        return mix(hash ^ (mHealth.code() * 2L + (mLeaving ? 1 : 0)));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xFF51AFD7ED558CCDL;
        return mixed ^ (mixed >>> 29);
    }

    Member toMember() {
        return new Member(
                mVm,
                mDetails.httpAddress(),
                mDetails.peerAddress(),
                mDetails.region(),
                mDetails.domain(),
                state());
    }

    private MemberState state() {
        if (mHealth == Health.GONE) {
            return MemberState.GONE;
        }
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        return mHealth == Health.SUSPECT ? MemberState.SUSPECT : MemberState.LIVE;
    }
}
