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
 * A named lease with a fencing number that only grows.
 *
 * <p>No clocks are compared: a VM takes over only after it has itself seen the lease's record
 * unchanged for the lease's whole duration, and a holder counts its own time from before it sent
 * the write. Still, a holder that is paused may believe that it holds a lease which another has
 * taken. That is harmless: the lease is not what makes an effect safe. Every effect under it is
 * either a conditional write, which fails for the deposed holder, or an order that carries the
 * fencing number, which the receiver or the order's own record checks. The lease only keeps two VMs
 * from doing the same work.
 *
 * <p>Invariants: {@link #heldFencingNumber} is empty once the duration has passed since the last
 * renewal was sent; fencing numbers of one name never repeat. Thread-safe: one lock guards the
 * state; calls and callbacks run without it.
 */
public final class Lease {
    private static final String PREFIX = "leases/";

    private final Platform mPlatform;
    private final String mKey;
    private final VmId mVm;
    private final long mDurationMs;
    private final Object mLock = new Object();

    private long mSeenVersion = -1;
    private long mSeenSinceMs;
    private long mFencing;
    private long mHeldUntilMs = Long.MIN_VALUE;

    /**
     * The stored lease.
     *
     * @param holder who holds it; empty where it was released
     * @param fencing grows with each new holder
     * @param renewal grows with each renewal, so that the record changes
     */
    record LeaseRecord(Optional<VmId> holder, long fencing, long renewal) {}

    /**
     * Creates a lease that is not held yet.
     *
     * @param platform the platform that keeps it
     * @param name the lease's name
     * @param vm this VM
     * @param durationMs for how long it is held without a renewal, in milliseconds; the same on
     *     every VM
     */
    public Lease(Platform platform, String name, VmId vm, long durationMs) {
        if (durationMs <= 0) {
            throw new IllegalArgumentException("a lease's duration must be positive");
        }
        mPlatform = platform;
        mKey = PREFIX + name;
        mVm = vm;
        mDurationMs = durationMs;
    }

    /** Returns the fencing number while this VM may believe that it holds the lease. */
    public OptionalLong heldFencingNumber(long nowMs) {
        synchronized (mLock) {
            return nowMs < mHeldUntilMs ? OptionalLong.of(mFencing) : OptionalLong.empty();
        }
    }

    /**
     * Takes the lease where it is free or has lapsed, or keeps it where this VM holds it. Call it
     * again from time to time: a lapse is only noticed by looking twice.
     *
     * @param nowMs the present time in milliseconds
     * @param done takes the time in milliseconds and the fencing number, or {@code ALREADY_EXISTS}
     *     where another VM holds it
     */
    public void acquire(long nowMs, BiConsumer<Long, Either<Failure, Long>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        take(atMs, 0, new LeaseRecord(Optional.of(mVm), 1, 0), done);
                    } else if (reply instanceof PlatformReply.Found found) {
                        consider(atMs, found.object(), done);
                    } else {
                        done.accept(atMs, Either.left(open()));
                    }
                });
    }

    /** Extends the lease; the same as {@link #acquire}. */
    public void renew(long nowMs, BiConsumer<Long, Either<Failure, Long>> done) {
        acquire(nowMs, done);
    }

    private void consider(
            long nowMs, StoredObject object, BiConsumer<Long, Either<Failure, Long>> done) {
        Either<Failure, LeaseRecord> decoded = Json.decode(object.value(), LeaseRecord.class);
        if (decoded.isLeft()) {
            done.accept(nowMs, Either.left(decoded.getLeft()));
            return;
        }
        LeaseRecord lease = decoded.get();
        boolean own = lease.holder().equals(Optional.of(mVm));
        if (!own && lease.holder().isPresent() && !lapsed(nowMs, object.version())) {
            String message = "the lease is held by " + lease.holder().get() + "; try again later";
            done.accept(nowMs, Either.left(Failure.of(ErrorKind.ALREADY_EXISTS, message)));
            return;
        }
        long fencing = own ? lease.fencing() : lease.fencing() + 1;
        LeaseRecord next = new LeaseRecord(Optional.of(mVm), fencing, lease.renewal() + 1);
        take(nowMs, object.version(), next, done);
    }

    /** Returns whether this VM has seen one version for the whole duration. */
    private boolean lapsed(long nowMs, long version) {
        synchronized (mLock) {
            if (version != mSeenVersion) {
                mSeenVersion = version;
                mSeenSinceMs = nowMs;
            }
            return nowMs - mSeenSinceMs > mDurationMs;
        }
    }

    private void take(
            long nowMs,
            long version,
            LeaseRecord next,
            BiConsumer<Long, Either<Failure, Long>> done) {
        mPlatform.submit(
                nowMs,
                write(version, next),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        hold(nowMs, next.fencing());
                        done.accept(atMs, Either.right(next.fencing()));
                    } else if (reply instanceof PlatformReply.Conflict) {
                        done.accept(atMs, Either.left(lostRace()));
                    } else {
                        done.accept(atMs, Either.left(open()));
                    }
                });
    }

    private PlatformCall write(long version, LeaseRecord next) {
        String value = Json.encode(next);
        return version == 0
                ? new PlatformCall.Create(mKey, value)
                : new PlatformCall.Update(mKey, value, version);
    }

    private void hold(long sentMs, long fencing) {
        synchronized (mLock) {
            mFencing = fencing;
            mHeldUntilMs = sentMs + mDurationMs;
        }
    }

    /**
     * Gives the lease up, from now on also in this VM's own eyes.
     *
     * @param nowMs the present time in milliseconds
     * @param done takes the time in milliseconds and the last fencing number; a failure is
     *     harmless, since the lease then lapses
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
                        done.accept(atMs, Either.left(open()));
                    }
                });
    }

    private void releaseIfOwn(
            long nowMs, StoredObject object, BiConsumer<Long, Either<Failure, Long>> done) {
        Either<Failure, LeaseRecord> decoded = Json.decode(object.value(), LeaseRecord.class);
        if (decoded.isLeft() || !decoded.get().holder().equals(Optional.of(mVm))) {
            done.accept(nowMs, Either.left(decoded.fold(f -> f, lease -> lostRace())));
            return;
        }
        LeaseRecord lease = decoded.get();
        LeaseRecord free = new LeaseRecord(Optional.empty(), lease.fencing(), lease.renewal() + 1);
        mPlatform.submit(
                nowMs,
                write(object.version(), free),
                (atMs, reply) ->
                        done.accept(
                                atMs,
                                reply instanceof PlatformReply.Written
                                        ? Either.right(lease.fencing())
                                        : Either.left(open())));
    }

    private Failure lostRace() {
        return Failure.of(
                ErrorKind.ALREADY_EXISTS, "another VM took " + mKey + "; try again later");
    }

    private Failure open() {
        return Failure.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not answer for " + mKey);
    }
}
