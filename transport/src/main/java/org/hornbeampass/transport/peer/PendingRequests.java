package org.hornbeampass.transport.peer;

import io.netty.util.concurrent.Future;
import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * Tracks the requests to one peer that wait for their replies.
 *
 * <p>Invariant: each request is completed exactly once, by its reply, its timeout or a failure.
 * Thread-safe; callbacks run without a lock held.
 */
final class PendingRequests {
    private final ConcurrentHashMap<Long, Pending> mPending = new ConcurrentHashMap<>();
    private final AtomicLong mLastCorrelation = new AtomicLong();
    private final PeerContext mContext;

    /** A pending request; its timer is set only after it has been added to the map. */
    private static final class Pending {
        private final BiConsumer<Long, Either<Failure, PeerMessage>> mDone;
        private volatile Optional<Future<?>> mTimer = Optional.empty();

        Pending(BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mDone = done;
        }
    }

    PendingRequests(PeerContext context) {
        mContext = context;
    }

    /** Adds a request and returns its correlation id; empty if too many requests are pending. */
    OptionalLong add(
            String peer, long timeoutMs, BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        if (mPending.size() >= mContext.settings().limits().maxPending()) {
            return OptionalLong.empty();
        }
        long correlation = mLastCorrelation.incrementAndGet();
        Pending pending = new Pending(done);
        mPending.put(correlation, pending);
        Future<?> timer =
                mContext.loops()
                        .group()
                        .next()
                        .schedule(
                                () -> timeOut(correlation, peer, timeoutMs),
                                timeoutMs,
                                TimeUnit.MILLISECONDS);
        pending.mTimer = Optional.of(timer);
        return OptionalLong.of(correlation);
    }

    /** Completes a request, if it is still pending. */
    void complete(long correlation, Either<Failure, PeerMessage> reply) {
        Optional.ofNullable(mPending.remove(correlation))
                .ifPresent(
                        pending -> {
                            pending.mTimer.ifPresent(timer -> timer.cancel(false));
                            pending.mDone.accept(mContext.clock().nowMs(), reply);
                        });
    }

    /** Fails all pending requests. */
    void failAll(ErrorKind kind, String reason) {
        for (Long correlation : List.copyOf(mPending.keySet())) {
            complete(correlation, Either.left(Failure.of(kind, reason)));
        }
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    private void timeOut(long correlation, String peer, long timeoutMs) {
        if (mPending.containsKey(correlation)) {
            mContext.counters().recordTimedOut();
            complete(
                    correlation,
                    Either.left(
                            Failure.of(
                                    ErrorKind.DEADLINE_EXCEEDED,
                                    peer + " did not reply within " + timeoutMs + " ms")));
        }
    }
}
