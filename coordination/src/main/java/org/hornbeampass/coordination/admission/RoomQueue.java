package org.hornbeampass.coordination.admission;

import org.agrona.collections.Long2ObjectHashMap;
import org.hornbeampass.coordination.limit.AdmissionRequest;
import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.limit.WaitingRequests;
import org.hornbeampass.coordination.limit.WaitingRequests.FairTurn;
import org.hornbeampass.coordination.limit.WaitingRequests.WaitingRequest;
import org.hornbeampass.coordination.service.ServiceRoom;

import java.util.Optional;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * Decides which requests of one VM get the room of one service, when there isn't enough for all.
 *
 * <p>Invariants: a request enters at once where the VM has a free place and none as urgent waits;
 * otherwise it waits, or is refused where its wait would exceed its maximum at the present rate;
 * each request is answered exactly once unless it is abandoned; each that entered holds one place
 * until it is released. A service whose upstreams state no slots, or that has no usable upstream,
 * limits nothing. Confined to one thread; listeners may call back.
 */
public final class RoomQueue {
    /** The requests in an engine's own queue, as a share of its slots; they hide round trips. */
    static final double ENGINE_QUEUE_SHARE = 1.0 / 3;

    /**
     * The share of a VM's places that requests of the lowest priority leave to more urgent ones,
     * here and, since the fleet sees these places free, at VMs with more urgent requests.
     */
    private static final double RESERVE_SHARE = 0.4;

    /** For how long a VM takes no further place after an upstream answered that it is full. */
    static final long FULL_PAUSE_MS = 60;

    private static final int MOST_URGENT = 9;
    private static final long MIN_RETRY_MS = 20;
    private static final long MAX_RETRY_MS = 5_000;

    /** Over what part of itself the time of a retry is spread. */
    private static final double RETRY_SPREAD = 0.5;

    private final int mMaxWaiting;
    private final boolean mEngines;
    private final LongFunction<ServiceRoom> mRoom;
    private final PlaceLimit mLimit;
    private final RandomGenerator mRandom;
    private final WaitingRequests mWaiting = new WaitingRequests(FairTurn.LONGEST_WAITING);
    private final Long2ObjectHashMap<Entry> mEntries = new Long2ObjectHashMap<>();
    private final WaitEstimate mEstimate = new WaitEstimate();
    private final EarlyRepeats mEarlyRepeats = new EarlyRepeats();
    private long mLastNumber;
    private int mHeld;
    private long mFullUntilMs = Long.MIN_VALUE;

    /** Receives what was decided on a request, once. */
    public interface Listener {
        /** Reports that the request has a place, which must be released once. */
        void onEntered(long nowMs, long waitedMs);

        /** Reports that the request is refused and holds no place. */
        void onRefused(long nowMs, RoomRefusal refusal);
    }

    /** A request with the time since which it waits, in milliseconds. */
    private record Entry(
            WaitingRequest waiting, RoomRequest request, long sinceMs, Listener listener) {}

    /**
     * Creates an empty queue.
     *
     * @param maxWaiting how many requests may wait
     * @param engines whether the service's upstreams have a queue of their own
     * @param room returns the room of the service at a time in milliseconds
     * @param limit decides how much of the room this VM may use
     * @param random spreads the retries of refused requests
     */
    public RoomQueue(
            int maxWaiting,
            boolean engines,
            LongFunction<ServiceRoom> room,
            PlaceLimit limit,
            RandomGenerator random) {
        mMaxWaiting = maxWaiting;
        mEngines = engines;
        mRoom = room;
        mLimit = limit;
        mRandom = random;
    }

    /**
     * Asks for a place.
     *
     * @return the number to pass to {@link #abandon} while the request waits
     */
    public long submit(long nowMs, RoomRequest request, Listener listener) {
        tick(nowMs);
        AdmissionRequest admission = request.admission();
        if (!mEarlyRepeats.isEmpty()
                && mEarlyRepeats.takeEarly(nowMs, request.identity().getAsLong())) {
            mWaiting.onServed(admission);
        }
        Deadline deadline =
                admission.deadline().earlier(Deadline.after(nowMs, request.maxWaitMs()));
        AdmissionRequest bounded =
                new AdmissionRequest(
                        admission.organisation(),
                        admission.priority(),
                        admission.weight(),
                        admission.cost(),
                        deadline);
        WaitingRequest waiting = new WaitingRequest(++mLastNumber, bounded);
        Entry entry = new Entry(waiting, request, nowMs, listener);
        int places = places(nowMs);
        int priority = bounded.priority();
        if (isFree(places, priority) && mWaiting.countAtOrAbove(priority) == 0) {
            mWaiting.onServed(bounded);
            enter(nowMs, entry);
            return waiting.number();
        }
        long waitMs =
                mEstimate.waitMs(nowMs, priority, usable(places, priority), mWaiting).orElse(0);
        if (waitMs >= deadline.remainingMs(nowMs)) {
            refuse(nowMs, entry, RoomRefusal.Reason.TOO_SLOW);
            return waiting.number();
        }
        mWaiting.add(waiting);
        mEntries.put(waiting.number(), entry);
        if (mWaiting.size() > mMaxWaiting) {
            WaitingRequest shed = mWaiting.firstToShed().orElseThrow();
            mWaiting.remove(shed);
            refuse(nowMs, mEntries.remove(shed.number()), RoomRefusal.Reason.SHED);
        }
        return waiting.number();
    }

    /** Removes a request that waits; returns whether it did. */
    public boolean abandon(long number) {
        Optional<Entry> entry = Optional.ofNullable(mEntries.remove(number));
        return entry.filter(e -> mWaiting.remove(e.waiting())).isPresent();
    }

    /**
     * Releases a place and gives it to the next request.
     *
     * @param nowMs the present time in milliseconds
     * @param heldMs for how long it was held, in milliseconds
     */
    public void release(long nowMs, long heldMs) {
        mHeld--;
        mEstimate.onReleased(heldMs);
        tick(nowMs);
    }

    /** Releases the place of a request that its upstream had no capacity for. */
    public void releaseFull(long nowMs) {
        mHeld--;
        mFullUntilMs = nowMs + FULL_PAUSE_MS;
    }

    /** Refuses requests that waited too long, and gives free places to those that wait. */
    public void tick(long nowMs) {
        for (WaitingRequest expired : mWaiting.expired(nowMs)) {
            if (mWaiting.remove(expired)) {
                refuse(nowMs, mEntries.remove(expired.number()), RoomRefusal.Reason.WAITED);
            }
        }
        while (mWaiting.size() > 0) {
            if (!isFree(places(nowMs), highestWaiting())) {
                return;
            }
            WaitingRequest next = mWaiting.takeNext().orElseThrow();
            enter(nowMs, mEntries.remove(next.number()));
        }
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns the refusal of a request whose upstreams were full; it must hold no place. */
    public RoomRefusal refusalWhenFull(long nowMs, RoomRequest request) {
        return refusal(nowMs, request, 0, RoomRefusal.Reason.UPSTREAMS_FULL);
    }

    private boolean isFree(int places, int priority) {
        return mHeld < usable(places, priority);
    }

    /** Returns how many places requests of a priority may fill. */
    private static int usable(int places, int priority) {
        double less = (double) (MOST_URGENT - priority) / MOST_URGENT;
        return places - (int) (places * RESERVE_SHARE * less);
    }

    private int highestWaiting() {
        int priority = MOST_URGENT;
        while (priority > 0 && mWaiting.countAtOrAbove(priority) == 0) {
            priority--;
        }
        return priority;
    }

    private int places(long nowMs) {
        ServiceRoom room = mRoom.apply(nowMs);
        if (room.slots() <= 0) {
            return Integer.MAX_VALUE;
        }
        int queued = mEngines ? (int) (room.slots() * ENGINE_QUEUE_SHARE) : 0;
        int places = mLimit.places(nowMs, room.slots() + queued, room.inFlight(), mHeld);
        return nowMs < mFullUntilMs ? Math.min(places, mHeld) : places;
    }

    private void enter(long nowMs, Entry entry) {
        mHeld++;
        mEstimate.onEntered(nowMs, entry.waiting().request().priority());
        entry.listener().onEntered(nowMs, nowMs - entry.sinceMs());
    }

    private void refuse(long nowMs, Entry entry, RoomRefusal.Reason reason) {
        RoomRefusal refusal = refusal(nowMs, entry.request(), nowMs - entry.sinceMs(), reason);
        entry.listener().onRefused(nowMs, refusal);
    }

    private RoomRefusal refusal(
            long nowMs, RoomRequest request, long waitedMs, RoomRefusal.Reason reason) {
        int places = places(nowMs);
        int priority = request.admission().priority();
        long waitMs =
                mEstimate
                        .waitMs(nowMs, priority, usable(places, priority), mWaiting)
                        .orElse(MIN_RETRY_MS);
        long boundedMs = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, waitMs));
        long spreadMs = (long) (boundedMs * RETRY_SPREAD * mRandom.nextDouble());
        long retryAfterMs = boundedMs + spreadMs;
        mEarlyRepeats.onRefused(request.identity().getAsLong(), nowMs + retryAfterMs);
        return new RoomRefusal(reason, waitedMs, retryAfterMs, mHeld, places, mWaiting.size());
    }
}
