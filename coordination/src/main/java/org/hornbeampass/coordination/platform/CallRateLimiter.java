package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.limit.TokenBucket;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Limits the rate of one VM's platform calls by kind, and queues calls above the rate by priority.
 *
 * <p>Each kind has a bounded queue. A call that finds the queue full evicts the newest call of the
 * least urgent priority below its own; if there is none, the call itself is rejected. The evicted
 * or rejected call is answered {@code Throttled} at once and had no effect. Within a kind, an
 * urgent call never waits for a less urgent one, and calls of the same priority are sent in order.
 * Reads, writes and watches don't wait for each other.
 *
 * <p>Thread-safe: one lock guards all state; calls and callbacks are run after it is released.
 * {@link #tick} must be called regularly to send queued calls.
 */
public final class CallRateLimiter {
    private final Platform mPlatform;
    private final CallLimits mLimits;
    private final Object mLock = new Object();
    private final Map<PlatformCall.Kind, KindQueue> mQueuesByKind =
            new EnumMap<>(PlatformCall.Kind.class);

    /** A call that waits until it may be sent. */
    private record QueuedCall(
            CallPriority priority, PlatformCall call, BiConsumer<Long, PlatformReply> done) {}

    /** The queue, token bucket and counters of one kind of call; guarded by the lock. */
    private static final class KindQueue {
        private final TokenBucket mBucket;
        private final Map<CallPriority, Deque<QueuedCall>> mQueues =
                new EnumMap<>(CallPriority.class);
        private final Map<CallPriority, Long> mSent = new EnumMap<>(CallPriority.class);
        private final Map<CallPriority, Long> mRefused = new EnumMap<>(CallPriority.class);
        private int mQueued;

        private KindQueue(TokenBucket bucket) {
            mBucket = bucket;
            for (CallPriority priority : CallPriority.values()) {
                mQueues.put(priority, new ArrayDeque<>());
                mSent.put(priority, 0L);
                mRefused.put(priority, 0L);
            }
        }

        /** Queues a call; returns the call that is rejected instead, which may be this one. */
        private Optional<QueuedCall> enqueue(QueuedCall queued, int maxQueued) {
            Optional<QueuedCall> evicted = Optional.empty();
            if (mQueued >= maxQueued) {
                evicted = evictLessUrgent(queued.priority());
                if (evicted.isEmpty()) {
                    mRefused.merge(queued.priority(), 1L, Long::sum);
                    return Optional.of(queued);
                }
                mRefused.merge(evicted.get().priority(), 1L, Long::sum);
            }
            mQueues.get(queued.priority()).addLast(queued);
            mQueued++;
            return evicted;
        }

        /** Removes and returns the calls that may be sent now, the most urgent first. */
        private List<QueuedCall> pollReady(long nowMs) {
            List<QueuedCall> ready = new ArrayList<>();
            for (CallPriority priority : CallPriority.values()) {
                Deque<QueuedCall> queue = mQueues.get(priority);
                while (!queue.isEmpty()) {
                    if (!mBucket.tryTake(nowMs, priority.reservedShare())) {
                        return ready;
                    }
                    ready.add(queue.removeFirst());
                    mQueued--;
                    mSent.merge(priority, 1L, Long::sum);
                }
            }
            return ready;
        }

        /** Removes and returns the newest call of the least urgent priority below a given one. */
        private Optional<QueuedCall> evictLessUrgent(CallPriority arriving) {
            CallPriority[] all = CallPriority.values();
            for (int i = all.length - 1; all[i] != arriving; i--) {
                QueuedCall newest = mQueues.get(all[i]).pollLast();
                if (newest != null) {
                    mQueued--;
                    return Optional.of(newest);
                }
            }
            return Optional.empty();
        }
    }

    /**
     * Creates a limiter whose full burst is available at once.
     *
     * @param platform the platform to call
     * @param limits this VM's share of the platform's rate limits
     * @param nowMs the present time in milliseconds
     */
    public CallRateLimiter(Platform platform, CallLimits limits, long nowMs) {
        mPlatform = platform;
        mLimits = limits;
        for (PlatformCall.Kind kind : PlatformCall.Kind.values()) {
            double perSecond = limits.perSecond(kind);
            double burst = perSecond * limits.burstSeconds();
            mQueuesByKind.put(kind, new KindQueue(TokenBucket.full(perSecond, burst, nowMs)));
        }
    }

    /** Returns a view of the platform whose calls have the given priority. */
    public Platform withPriority(CallPriority priority) {
        return (nowMs, call, done) -> submit(nowMs, new QueuedCall(priority, call, done));
    }

    private void submit(long nowMs, QueuedCall queued) {
        List<QueuedCall> ready;
        Optional<QueuedCall> refused;
        synchronized (mLock) {
            KindQueue queueOfKind = mQueuesByKind.get(queued.call().kind());
            refused = queueOfKind.enqueue(queued, mLimits.maxQueued());
            ready = queueOfKind.pollReady(nowMs);
        }
        refused.ifPresent(r -> r.done().accept(nowMs, new PlatformReply.Throttled()));
        send(nowMs, ready);
    }

    /**
     * Sends the queued calls that the limits now allow.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        List<QueuedCall> ready = new ArrayList<>();
        synchronized (mLock) {
            mQueuesByKind.values().forEach(l -> ready.addAll(l.pollReady(nowMs)));
        }
        send(nowMs, ready);
    }

    private void send(long nowMs, List<QueuedCall> ready) {
        ready.forEach(w -> mPlatform.submit(nowMs, w.call(), w.done()));
    }

    /** Returns the number of calls of a kind and priority sent since creation. */
    public long sent(PlatformCall.Kind kind, CallPriority priority) {
        synchronized (mLock) {
            return mQueuesByKind.get(kind).mSent.get(priority);
        }
    }

    /** Returns the number of calls of a kind and priority rejected or evicted since creation. */
    public long refused(PlatformCall.Kind kind, CallPriority priority) {
        synchronized (mLock) {
            return mQueuesByKind.get(kind).mRefused.get(priority);
        }
    }

    /** Returns the number of queued calls of a kind. */
    public int queued(PlatformCall.Kind kind) {
        synchronized (mLock) {
            return mQueuesByKind.get(kind).mQueued;
        }
    }
}
