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
 * Writes an upstream's intended state to the platform, then sends it, then checks it again.
 *
 * <p>Invariants: nothing is sent that was not written first by a conditional update; a writer never
 * writes over a greater fencing number; after each order the stored state is read again, and where
 * a newer one stands there that one is sent, so that the last order which an upstream gets from a
 * writer that was paused is the newest. To upstreams that don't check fencing numbers at most one
 * order is under way at a time. Thread-safe; callbacks run with no lock held.
 */
public final class OrderWriter {
    private static final int MAX_TRIES = 4;

    private final Platform mPlatform;
    private final OrderLease mFence;
    private final OrderSender mSender;
    private final String mWriter;
    private final SerialStepRunner mUnfenced = new SerialStepRunner();

    /** One order on its way, with how often it may yet be tried. */
    private record Task(
            UpstreamId upstream,
            IntendedState state,
            boolean checksFencing,
            int triesLeft,
            BiConsumer<Long, Either<Failure, StoredOrder>> done) {
        private String key() {
            return StoredOrder.PREFIX + upstream;
        }

        private Task again() {
            return new Task(upstream, state, checksFencing, triesLeft - 1, done);
        }

        private void fail(long nowMs, ErrorKind kind, String message) {
            done.accept(nowMs, Either.left(Failure.of(kind, message)));
        }
    }

    /**
     * Creates a writer.
     *
     * @param platform keeps the intended states
     * @param fence tells whether this VM is the writer
     * @param sender sends orders
     * @param writer this VM's name, for operators
     */
    public OrderWriter(Platform platform, OrderLease fence, OrderSender sender, String writer) {
        mPlatform = platform;
        mFence = fence;
        mSender = sender;
        mWriter = writer;
    }

    /**
     * Brings an upstream to a state; may be repeated at will.
     *
     * @param checksFencing whether the upstream refuses old fencing numbers
     * @param done run exactly once with the time in milliseconds and the order that stands, or
     *     {@code REVISION_CONFLICT} where another VM is the writer, {@code PLATFORM_UNAVAILABLE}
     *     where the state could not be written, {@code UPSTREAM_FAILED} where it was written but
     *     the upstream did not take it; a later repetition sends it again
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
        mUnfenced.run(
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
     * Takes over an upstream's order as it stands under this VM's fencing number, and sends it, so
     * that a deposed writer can neither write its order nor, where the upstream checks numbers,
     * send one. A new writer does so for each upstream before it counts on it in a plan.
     *
     * @param done as in {@link #apply}; an upstream without an order is claimed as empty, so name
     *     it to {@link #apply} instead
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
            read(nowMs, task.again());
        }
    }

    private void write(long nowMs, Task task, Optional<StoredOrder> stored, long version) {
        OptionalLong fencing = mFence.fencingNumber(nowMs);
        boolean deposed =
                fencing.isEmpty()
                        || stored.map(s -> s.fencing() > fencing.getAsLong()).orElse(false);
        if (deposed) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "another VM writes orders now");
            return;
        }
        StoredOrder next =
                new StoredOrder(
                        fencing.getAsLong(),
                        stored.map(StoredOrder::generation).orElse(0L) + 1,
                        mWriter,
                        task.state());
        if (stored.isPresent() && sameIntent(stored.get(), next)) {
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
                        read(now, task.again());
                    }
                });
    }

    private static boolean sameIntent(StoredOrder stored, StoredOrder next) {
        return stored.fencing() == next.fencing() && stored.state().equals(next.state());
    }

    private void send(long nowMs, Task task, StoredOrder order) {
        if (mFence.fencingNumber(nowMs).isEmpty()) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "the lease on orders has ended");
            return;
        }
        mSender.send(
                nowMs, task.upstream(), order, (now, result) -> onSent(now, task, order, result));
    }

    private void onSent(long nowMs, Task task, StoredOrder order, OrderResult result) {
        if (result == OrderResult.OLD_FENCING) {
            task.fail(nowMs, ErrorKind.REVISION_CONFLICT, "another VM writes orders now");
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(task.key()),
                (now, reply) -> onChecked(now, task, order, result, reply));
    }

    private void onChecked(
            long nowMs, Task task, StoredOrder sent, OrderResult result, PlatformReply reply) {
        Optional<StoredOrder> stored = decode(reply);
        if (stored.isPresent() && stored.get().newerThan(sent) && task.triesLeft() > 0) {
            repair(nowMs, task.again(), stored.get());
            return;
        }
        if (result != OrderResult.ACCEPTED) {
            task.fail(
                    nowMs,
                    ErrorKind.UPSTREAM_FAILED,
                    "upstream " + task.upstream() + " did not confirm the order; it stands");
            return;
        }
        task.done().accept(nowMs, Either.right(sent));
    }

    /** Sends a newer order of another writer, since the one sent just now may have undone it. */
    private void repair(long nowMs, Task task, StoredOrder newer) {
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
