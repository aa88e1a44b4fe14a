package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.concurrent.atomic.AtomicReference;

/** Tests that at most one VM acquires a lease at a time, and that fencing numbers only increase. */
class LeaseTest {
    private static final long DURATION_MS = 10_000;

    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final Lease mFirst = lease("a");
    private final Lease mSecond = lease("b");

    @Test
    void freeLease_isAcquiredAndRenewed() {
        assertThat(acquire(mFirst, 0).get()).isEqualTo(1L);
        assertThat(acquire(mFirst, 9_000).get()).isEqualTo(1L);

        assertThat(mFirst.heldFencingNumber(18_999)).hasValue(1L);
        assertThat(mFirst.heldFencingNumber(19_000)).isEmpty();
    }

    @Test
    void heldLease_isNotTakenUntilObservedUnchangedForItsDuration() {
        acquire(mFirst, 0);

        assertThat(acquire(mSecond, 50_000).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(acquire(mSecond, 60_000).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(acquire(mSecond, 60_001).get()).isEqualTo(2L);
    }

    @Test
    void renewal_restartsObservationPeriod() {
        acquire(mFirst, 0);
        acquire(mSecond, 1_000);
        acquire(mFirst, 9_000);

        assertThat(acquire(mSecond, 11_001).isLeft()).isTrue();
    }

    @Test
    void holderPausedBeyondExpiry_doesNotRegainLease() {
        acquire(mFirst, 0);
        acquire(mSecond, 1_000);
        acquire(mSecond, 11_001);

        assertThat(mFirst.heldFencingNumber(11_001)).isEmpty();
        assertThat(acquire(mFirst, 11_002).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(mSecond.heldFencingNumber(11_002)).hasValue(2L);
    }

    @Test
    void releasedLease_isTakenAtOnceWithGreaterFencingNumber() {
        acquire(mFirst, 0);
        AtomicReference<Either<Failure, Long>> released = new AtomicReference<>();
        mFirst.release(1_000, (atMs, r) -> released.set(r));

        assertThat(released.get().get()).isEqualTo(1L);
        assertThat(mFirst.heldFencingNumber(1_000)).isEmpty();
        assertThat(acquire(mSecond, 1_001).get()).isEqualTo(2L);
    }

    @Test
    void restoredLease_isTakenWithANumberThatWasNeverGiven() {
        acquire(mFirst, 0);
        MemoryPlatform.Copy copy = mPlatform.copy();
        acquire(mSecond, 1_000);
        long forgotten = acquire(mSecond, 11_001).get();
        mPlatform.restore(12_000, copy);

        assertThat(acquire(mFirst, 12_001).get()).isGreaterThan(forgotten);
    }

    @Test
    void lostWriteReply_leaseIsAdoptedByNextAttempt() {
        boolean[] losesReplies = {true};
        Platform losing =
                (nowMs, call, done) ->
                        mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        done.accept(
                                                atMs, dropWriteReply(losesReplies, call, reply)));
        Lease lease = new Lease(losing, "loads", new VmId("a", 1), DURATION_MS);

        assertThat(acquire(lease, 0).getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
        assertThat(lease.heldFencingNumber(0)).isEmpty();
        losesReplies[0] = false;

        assertThat(acquire(lease, 100).get()).isEqualTo(1L);
    }

    private static PlatformReply dropWriteReply(
            boolean[] losesReplies, PlatformCall call, PlatformReply reply) {
        return losesReplies[0] && call.kind() == PlatformCall.Kind.WRITE
                ? new PlatformReply.Unavailable("reply lost")
                : reply;
    }

    private Lease lease(String vm) {
        return new Lease(mPlatform, "loads", new VmId(vm, 1), DURATION_MS);
    }

    private static Either<Failure, Long> acquire(Lease lease, long nowMs) {
        AtomicReference<Either<Failure, Long>> result = new AtomicReference<>();
        lease.acquire(nowMs, (atMs, r) -> result.set(r));
        return result.get();
    }
}
