package org.hornbeampass.coordination.orders;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.upstream.IntendedState;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Writes an upstream's intended state to the platform, sends it, then checks the stored state
 * again.
 *
 * <p>Invariants: an order is sent only after it was written by a conditional update. A writer never
 * overwrites an order with a greater fencing number. After each order the stored order is read
 * again, and if it is newer than the one sent, the newer one is sent too; hence the last order that
 * an upstream receives from a writer that was paused is the newest. At most one order is in flight
 * at a time to all upstreams that don't check fencing numbers. Thread-safe; callbacks run with no
 * lock held.
 */
public final class OrderWriter {
    private static final int MAX_TRIES = 4;

    private final Platform mPlatform;
    private final OrderLease mLease;
    private final OrderSender mSender;
    private final String mWriter;
    private final SerialStepRunner mUnfencedSteps = new SerialStepRunner();

    /** One order being applied, with the number of tries that remain. */
    private record Task(
            UpstreamId upstream,
            IntendedState state,
            boolean checksFencing,
            int triesLeft,
            BiConsumer<Long, Either<Failure, StoredOrder>> done) {
        private String key() {
            return StoredOrder.PREFIX + upstream;
        }

        private Task nextTry() {
            return new Task(upstream, state, checksFencing, triesLeft - 1, done);
        }

        private void fail(long nowMs, ErrorKind kind, String message) {
            done.accept(nowMs, Either.left(Failure.of(kind, message)));
        }
    }

    /**
     * Creates a writer.
     *
     * @param platform stores the intended states
     * @param lease provides the fencing number while this VM is the writer
     * @param sender sends orders
     * @param writer this VM's name, for operators
     */
    public OrderWriter(Platform platform, OrderLease lease, OrderSender sender, String writer) {
        mPlatform = platform;
        mLease = lease;
        mSender = sender;
        mWriter = writer;
    }

    /**
     * Writes and sends an order to bring an upstream to a state. Idempotent; may be repeated at any
     * time.
     *
     * @param checksFencing whether the upstream refuses old fencing numbers
     * @param done called exactly once with the time in milliseconds and the order in force, or
     *     {@code REVISION_CONFLICT} if another VM is the writer, {@code PLATFORM_UNAVAILABLE} if
     *     the state could not be written, {@code UPSTREAM_FAILED} if it was written but the
     *     upstream did not accept it; a later call sends it again
     */
    public void apply(
            long nowMs,
            UpstreamId upstream,
            IntendedState state,
            boolean checksFencing,
            BiConsumer<Long, Either<Failure, StoredOrder>> done) {
        Task task = new Task(upstream, state, checksFencing, MAX_TRIES, done);
        if (checksFencing) {
            read(nowMs, task);
            return;
        }
        mUnfencedSteps.run(
                nowMs,
                (startMs, finished) ->
                        read(
                                startMs,
                                new Task(
                                        upstream,
                                        state,
                                        false,
                                        MAX_TRIES,
                                        (now, result) -> {
                                            finished.accept(now);
                                            done.accept(now, result);
                                        })));
    }

    /**
     * Rewrites an upstream's stored order under this VM's fencing number and sends it, with its
     * state unchanged. Afterwards a deposed writer can't overwrite the order, and it can't send one
     * either if the upstream checks fencing numbers. A new writer does so for each upstream before
     * it relies on that upstream in a plan.
     *
     * @param done called as in {@link #apply}, or with {@code NOT_FOUND} if no order could be read
     *     for the upstream; an upstream without an order is claimed by {@link #apply} instead
     */
    public void claim(
            long nowMs,
            UpstreamId upstream,
            boolean checksFencing,
            BiConsumer<Long, Either<Failure, StoredOrder>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(StoredOrder.PREFIX + upstream),
                (now, reply) -> {
                    Optional<StoredOrder> stored = decode(reply);
                    if (stored.isEmpty()) {
                        Failure failure =
                                Failure.of(ErrorKind.NOT_FOUND, "no order for " + upstream);
                        done.accept(now, Either.left(failure));
                        return;
                    }
                    apply(now, upstream, stored.get().state(), checksFencing, done);
                });
    }

    private void read(long nowMs, Task task) {
        if (task.triesLeft() == 0) {
            task.fail(
                    nowMs,
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the order for " + task.upstream() + " could not be written; try again");
            return;
        }
        mPlatform.submit(
                nowMs, new PlatformCall.Get(task.key()), (now, reply) -> onRead(now, task, reply));
    }

    private void onRead(long nowMs, Task task, PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            StoredObject object = found.object();
            Either<Failure, StoredOrder> stored = Json.decode(object.value(), StoredOrder.class);
            if (stored.isLeft()) {
                task.done().accept(nowMs, Either.left(stored.getLeft()));
                return;
            }
            write(nowMs, task, Optional.of(stored.get()), object.version());
        } else if (reply instanceof PlatformReply.Missing) {
            write(nowMs, task, Optional.empty(), 0);
        } else {
            read(nowMs, task.nextTry());
        }
    }

    private void write(long nowMs, Task task, Optional<StoredOrder> stored, long version) {
        OptionalLong fencing = mLease.fencingNumber(nowMs);
        boolean deposed =
                fencing.isEmpty()
                        || stored.map(s -> s.fencing() > fencing.getAsLong()).orElse(false);
        if (deposed) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "another VM holds the lease on orders");
            return;
        }
        StoredOrder next =
                new StoredOrder(
                        fencing.getAsLong(),
                        stored.map(StoredOrder::generation).orElse(0L) + 1,
                        mWriter,
                        task.state());
        if (stored.isPresent() && isSameIntent(stored.get(), next)) {
            send(nowMs, task, stored.get());
            return;
        }
        PlatformCall call =
                stored.isPresent()
                        ? new PlatformCall.Update(task.key(), Json.encode(next), version)
                        : new PlatformCall.Create(task.key(), Json.encode(next));
        mPlatform.submit(
                nowMs,
                call,
                (now, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        send(now, task, next);
                    } else {
                        read(now, task.nextTry());
                    }
                });
    }

    private static boolean isSameIntent(StoredOrder stored, StoredOrder next) {
        return stored.fencing() == next.fencing() && stored.state().equals(next.state());
    }

    private void send(long nowMs, Task task, StoredOrder order) {
        if (mLease.fencingNumber(nowMs).isEmpty()) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "this VM's lease on orders has expired");
            return;
        }
        mSender.send(
                nowMs, task.upstream(), order, (now, result) -> onSent(now, task, order, result));
    }

    private void onSent(long nowMs, Task task, StoredOrder order, OrderResult result) {
        if (result == OrderResult.OLD_FENCING) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "another VM holds the lease on orders");
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(task.key()),
                (now, reply) -> onReread(now, task, order, result, reply));
    }

    private void onReread(
            long nowMs, Task task, StoredOrder sent, OrderResult result, PlatformReply reply) {
        Optional<StoredOrder> stored = decode(reply);
        if (stored.isPresent() && stored.get().newerThan(sent) && task.triesLeft() > 0) {
            resendNewer(nowMs, task.nextTry(), stored.get());
            return;
        }
        if (result != OrderResult.ACCEPTED) {
            task.fail(
                    nowMs,
                    ErrorKind.UPSTREAM_FAILED,
                    "upstream " + task.upstream() + " did not confirm the order; it stays stored");
            return;
        }
        task.done().accept(nowMs, Either.right(sent));
    }

    /** Sends the newer order of another writer, since the order just sent may have undone it. */
    private void resendNewer(long nowMs, Task task, StoredOrder newer) {
        mSender.send(
                nowMs, task.upstream(), newer, (now, result) -> onSent(now, task, newer, result));
    }

    private static Optional<StoredOrder> decode(PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            return Json.decode(found.object().value(), StoredOrder.class).toJavaOptional();
        }
        return Optional.empty();
    }
}
