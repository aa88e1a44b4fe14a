package org.hornbeampass.coordination.platform;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * A named lease with a fencing number that only increases.
 *
 * <p>Clocks of different VMs are not compared: a VM takes over only after it has observed the
 * lease's record unchanged for the whole duration of the lease, and a holder measures the duration
 * from before it sent the write. A holder that is paused may still believe that it holds a lease
 * that another VM has taken. The lease is therefore not what makes an effect safe: every effect
 * under it is either a conditional write, which fails for a former holder, or an order that carries
 * the fencing number, which is checked by the receiver or against the record of the order. The
 * lease only keeps two VMs from doing the same work.
 *
 * <p>Invariants: {@link #heldFencingNumber} is empty once the duration has passed since the last
 * renewal was sent; a fencing number is never given to two holders of the same lease, also if the
 * platform is restored from an older copy that has the lease, since numbers contain the era in
 * which they were first given. Thread-safe: one lock guards the state; calls and callbacks run
 * without it.
 */
public final class Lease {
    private static final String PREFIX = "leases/";

    private final Platform mPlatform;
    private final String mKey;
    private final VmId mVm;
    private final long mDurationMs;
    private final Object mLock = new Object();

    private long mObservedVersion = -1;
    private long mObservedSinceMs;
    private long mFencing;
    private long mHeldUntilMs = Long.MIN_VALUE;

    /**
     * The lease as stored on the platform.
     *
     * @param holder the VM that holds the lease; empty if it was released
     * @param fencing increases with each new holder
     * @param renewal increases with each renewal, so that the record changes
     */
    record LeaseRecord(Optional<VmId> holder, long fencing, long renewal) {}

    /**
     * Creates a lease that this VM does not hold yet.
     *
     * @param platform the platform that stores the lease
     * @param name the lease's name
     * @param vm this VM
     * @param durationMs how long the lease is held without a renewal, in milliseconds; must be the
     *     same on every VM
     */
    public Lease(Platform platform, String name, VmId vm, long durationMs) {
        if (durationMs <= 0) {
            throw new IllegalArgumentException("lease duration must be positive");
        }
        mPlatform = platform;
        mKey = PREFIX + name;
        mVm = vm;
        mDurationMs = durationMs;
    }

    /** Returns the fencing number if this VM holds the lease by its own clock; otherwise empty. */
    public OptionalLong heldFencingNumber(long nowMs) {
        synchronized (mLock) {
            return nowMs < mHeldUntilMs ? OptionalLong.of(mFencing) : OptionalLong.empty();
        }
    }

    /**
     * Acquires the lease if it is free or has expired, or renews it if this VM holds it. An expiry
     * is only detected by comparing two calls, so a VM that wants the lease must call this method
     * repeatedly.
     *
     * @param nowMs the present time in milliseconds
     * @param done receives the time in milliseconds and the fencing number, or {@code
     *     ALREADY_EXISTS} if another VM holds the lease
     */
    public void acquire(long nowMs, BiConsumer<Long, Either<Failure, Long>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        writeHolder(atMs, 0, new LeaseRecord(Optional.of(mVm), 1, 0), done);
                    } else if (reply instanceof PlatformReply.Found found) {
                        takeIfAvailable(atMs, found.object(), done);
                    } else {
                        done.accept(atMs, Either.left(noAnswer()));
                    }
                });
    }

    /** Renews the lease; equivalent to {@link #acquire}. */
    public void renew(long nowMs, BiConsumer<Long, Either<Failure, Long>> done) {
        acquire(nowMs, done);
    }

    private void takeIfAvailable(
            long nowMs, StoredObject object, BiConsumer<Long, Either<Failure, Long>> done) {
        Either<Failure, LeaseRecord> decoded = Json.decode(object.value(), LeaseRecord.class);
        if (decoded.isLeft()) {
            done.accept(nowMs, Either.left(decoded.getLeft()));
            return;
        }
        LeaseRecord lease = decoded.get();
        boolean own = lease.holder().equals(Optional.of(mVm));
        if (!own && lease.holder().isPresent() && !hasExpired(nowMs, object.version())) {
            String message = "the lease is held by " + lease.holder().get() + "; try again later";
            done.accept(nowMs, Either.left(Failure.of(ErrorKind.ALREADY_EXISTS, message)));
            return;
        }
        long firstOfEra = StoreVersion.of(StoreVersion.era(object.version()), 1);
        boolean keepsNumber = own && lease.fencing() >= firstOfEra;
        long fencing = keepsNumber ? lease.fencing() : Math.max(lease.fencing() + 1, firstOfEra);
        LeaseRecord next = new LeaseRecord(Optional.of(mVm), fencing, lease.renewal() + 1);
        writeHolder(nowMs, object.version(), next, done);
    }

    /** Returns whether this VM has observed the same version for longer than the duration. */
    private boolean hasExpired(long nowMs, long version) {
        synchronized (mLock) {
            if (version != mObservedVersion) {
                mObservedVersion = version;
                mObservedSinceMs = nowMs;
            }
            return nowMs - mObservedSinceMs > mDurationMs;
        }
    }

    private void writeHolder(
            long nowMs,
            long version,
            LeaseRecord next,
            BiConsumer<Long, Either<Failure, Long>> done) {
        mPlatform.submit(
                nowMs,
                toWriteCall(version, next),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        onTaken(nowMs, next.fencing());
                        done.accept(atMs, Either.right(next.fencing()));
                    } else if (reply instanceof PlatformReply.Conflict) {
                        done.accept(atMs, Either.left(takenByOther()));
                    } else {
                        done.accept(atMs, Either.left(noAnswer()));
                    }
                });
    }

    private PlatformCall toWriteCall(long version, LeaseRecord next) {
        String value = Json.encode(next);
        return PlatformCall.write(mKey, value, version);
    }

    private void onTaken(long sentMs, long fencing) {
        synchronized (mLock) {
            mFencing = fencing;
            mHeldUntilMs = sentMs + mDurationMs;
        }
    }

    /**
     * Releases the lease. This VM stops considering itself the holder at once.
     *
     * @param nowMs the present time in milliseconds
     * @param done receives the time in milliseconds and the last fencing number; a failure is
     *     harmless, since the lease then expires
     */
    public void release(long nowMs, BiConsumer<Long, Either<Failure, Long>> done) {
        synchronized (mLock) {
            mHeldUntilMs = Long.MIN_VALUE;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        releaseIfOwn(atMs, found.object(), done);
                    } else {
                        done.accept(atMs, Either.left(noAnswer()));
                    }
                });
    }

    private void releaseIfOwn(
            long nowMs, StoredObject object, BiConsumer<Long, Either<Failure, Long>> done) {
        Either<Failure, LeaseRecord> decoded = Json.decode(object.value(), LeaseRecord.class);
        if (decoded.isLeft() || !decoded.get().holder().equals(Optional.of(mVm))) {
            done.accept(nowMs, Either.left(decoded.fold(f -> f, lease -> takenByOther())));
            return;
        }
        LeaseRecord lease = decoded.get();
        LeaseRecord free = new LeaseRecord(Optional.empty(), lease.fencing(), lease.renewal() + 1);
        mPlatform.submit(
                nowMs,
                toWriteCall(object.version(), free),
                (atMs, reply) ->
                        done.accept(
                                atMs,
                                reply instanceof PlatformReply.Written
                                        ? Either.right(lease.fencing())
                                        : Either.left(noAnswer())));
    }

    private Failure takenByOther() {
        return Failure.of(
                ErrorKind.ALREADY_EXISTS, "another VM took " + mKey + "; try again later");
    }

    private Failure noAnswer() {
        return Failure.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not answer for " + mKey);
    }
}
