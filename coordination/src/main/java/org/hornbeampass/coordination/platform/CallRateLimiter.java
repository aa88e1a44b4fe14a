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
 * Caps one VM's platform calls per second by kind, queues within a bound, and serves the more
 * urgent first.
 *
 * <p>A call that finds the queue of its kind full pushes out the newest call of the least urgent
 * priority below its own, or is itself answered {@code Throttled} at once; neither had any effect.
 * Within a kind, an urgent call never waits for a less urgent one; calls of one kind and priority
 * are sent in order. Reads, writes and watches don't wait for each other.
 *
 * <p>Thread-safe: one lock guards all state; calls and replies are run after it is released. {@link
 * #tick} must be called often, since it alone sends what waits.
 */
public final class CallRateLimiter {
    private final Platform mPlatform;
    private final CallLimits mLimits;
    private final Object mLock = new Object();
    private final Map<PlatformCall.Kind, Lane> mLanes = new EnumMap<>(PlatformCall.Kind.class);

    /** A call that waits to be sent. */
    private record Waiting(
            CallPriority priority, PlatformCall call, BiConsumer<Long, PlatformReply> done) {}

    /** What one kind of call holds; guarded by the lock. */
    private static final class Lane {
        private final TokenBucket mBucket;
        private final Map<CallPriority, Deque<Waiting>> mQueues = new EnumMap<>(CallPriority.class);
        private final Map<CallPriority, Long> mSent = new EnumMap<>(CallPriority.class);
        private final Map<CallPriority, Long> mRefused = new EnumMap<>(CallPriority.class);
        private int mQueued;

        private Lane(TokenBucket bucket) {
            mBucket = bucket;
            for (CallPriority priority : CallPriority.values()) {
                mQueues.put(priority, new ArrayDeque<>());
                mSent.put(priority, 0L);
                mRefused.put(priority, 0L);
            }
        }

        /** Queues a call; returns the call, this one or another, that is refused for it. */
        private Optional<Waiting> admit(Waiting waiting, int maxQueued) {
            Optional<Waiting> pushedOut = Optional.empty();
            if (mQueued >= maxQueued) {
                pushedOut = pushOut(waiting.priority());
                if (pushedOut.isEmpty()) {
                    mRefused.merge(waiting.priority(), 1L, Long::sum);
                    return Optional.of(waiting);
                }
                mRefused.merge(pushedOut.get().priority(), 1L, Long::sum);
            }
            mQueues.get(waiting.priority()).addLast(waiting);
            mQueued++;
            return pushedOut;
        }

        /** Takes every call that may be sent now, the most urgent first. */
        private List<Waiting> takeReady(long nowMs) {
            List<Waiting> ready = new ArrayList<>();
            for (CallPriority priority : CallPriority.values()) {
                Deque<Waiting> queue = mQueues.get(priority);
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

        /** Removes the newest waiting call of the least urgent priority below a given one. */
        private Optional<Waiting> pushOut(CallPriority arriving) {
            CallPriority[] all = CallPriority.values();
            for (int i = all.length - 1; all[i] != arriving; i--) {
                Waiting newest = mQueues.get(all[i]).pollLast();
                if (newest != null) {
                    mQueued--;
                    return Optional.of(newest);
                }
            }
            return Optional.empty();
        }
    }

    /**
     * Creates a budget with full bursts.
     *
     * @param platform the platform that is called
     * @param limits this VM's share of the platform's limits
     * @param nowMs the present time in milliseconds
     */
    public CallRateLimiter(Platform platform, CallLimits limits, long nowMs) {
        mPlatform = platform;
        mLimits = limits;
        for (PlatformCall.Kind kind : PlatformCall.Kind.values()) {
            double perSecond = limits.perSecond(kind);
            double burst = perSecond * limits.burstSeconds();
            mLanes.put(kind, new Lane(TokenBucket.full(perSecond, burst, nowMs)));
        }
    }

    /** Returns the platform as seen by calls of one priority. */
    public Platform withPriority(CallPriority priority) {
        return (nowMs, call, done) -> submit(nowMs, new Waiting(priority, call, done));
    }

    private void submit(long nowMs, Waiting waiting) {
        List<Waiting> ready;
        Optional<Waiting> refused;
        synchronized (mLock) {
            Lane lane = mLanes.get(waiting.call().kind());
            refused = lane.admit(waiting, mLimits.maxQueued());
            ready = lane.takeReady(nowMs);
        }
        refused.ifPresent(r -> r.done().accept(nowMs, new PlatformReply.Throttled()));
        send(nowMs, ready);
    }

    /**
     * Sends the waiting calls that the limits now allow.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        List<Waiting> ready = new ArrayList<>();
        synchronized (mLock) {
            mLanes.values().forEach(l -> ready.addAll(l.takeReady(nowMs)));
        }
        send(nowMs, ready);
    }

    private void send(long nowMs, List<Waiting> ready) {
        ready.forEach(w -> mPlatform.submit(nowMs, w.call(), w.done()));
    }

    /** Returns how many calls of a kind and priority were sent so far. */
    public long sent(PlatformCall.Kind kind, CallPriority priority) {
        synchronized (mLock) {
            return mLanes.get(kind).mSent.get(priority);
        }
    }

    /** Returns how many calls of a kind and priority were refused for a full queue so far. */
    public long refused(PlatformCall.Kind kind, CallPriority priority) {
        synchronized (mLock) {
            return mLanes.get(kind).mRefused.get(priority);
        }
    }

    /** Returns how many calls of a kind wait now. */
    public int queued(PlatformCall.Kind kind) {
        synchronized (mLock) {
            return mLanes.get(kind).mQueued;
        }
    }
}
