package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.concurrent.atomic.AtomicReference;

/** Checks who holds the lease, and that fencing numbers only grow. */
class LeaseTest {
    private static final long DURATION_MS = 10_000;

    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final Lease mFirst = lease("a");
    private final Lease mSecond = lease("b");

    @Test
    void free_lease_is_taken_and_kept() {
        assertThat(acquire(mFirst, 0).get()).isEqualTo(1L);
        assertThat(acquire(mFirst, 9_000).get()).isEqualTo(1L);

        assertThat(mFirst.heldFencingNumber(18_999)).hasValue(1L);
        assertThat(mFirst.heldFencingNumber(19_000)).isEmpty();
    }

    @Test
    void held_lease_is_refused_until_it_was_seen_unchanged_for_its_duration() {
        acquire(mFirst, 0);

        assertThat(acquire(mSecond, 50_000).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(acquire(mSecond, 60_000).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(acquire(mSecond, 60_001).get()).isEqualTo(2L);
    }

    @Test
    void renewal_starts_the_wait_anew() {
        acquire(mFirst, 0);
        acquire(mSecond, 1_000);
        acquire(mFirst, 9_000);

        assertThat(acquire(mSecond, 11_001).isLeft()).isTrue();
    }

    @Test
    void holder_that_was_paused_past_its_lease_does_not_get_it_back() {
        acquire(mFirst, 0);
        acquire(mSecond, 1_000);
        acquire(mSecond, 11_001);

        assertThat(mFirst.heldFencingNumber(11_001)).isEmpty();
        assertThat(acquire(mFirst, 11_002).getLeft().kind()).isEqualTo(ErrorKind.ALREADY_EXISTS);
        assertThat(mSecond.heldFencingNumber(11_002)).hasValue(2L);
    }

    @Test
    void released_lease_is_taken_at_once_with_a_greater_number() {
        acquire(mFirst, 0);
        AtomicReference<Either<Failure, Long>> released = new AtomicReference<>();
        mFirst.release(1_000, (atMs, r) -> released.set(r));

        assertThat(released.get().get()).isEqualTo(1L);
        assertThat(mFirst.heldFencingNumber(1_000)).isEmpty();
        assertThat(acquire(mSecond, 1_001).get()).isEqualTo(2L);
    }

    @Test
    void write_whose_reply_was_lost_is_adopted_by_the_next_try() {
        boolean[] lose = {true};
        Platform losing =
                (nowMs, call, done) ->
                        mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) -> done.accept(atMs, lost(lose, call, reply)));
        Lease lease = new Lease(losing, "loads", new VmId("a", 1), DURATION_MS);

        assertThat(acquire(lease, 0).getLeft().kind()).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
        assertThat(lease.heldFencingNumber(0)).isEmpty();
        lose[0] = false;

        assertThat(acquire(lease, 100).get()).isEqualTo(1L);
    }

    private static PlatformReply lost(boolean[] lose, PlatformCall call, PlatformReply reply) {
        return lose[0] && call.kind() == PlatformCall.Kind.WRITE
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
