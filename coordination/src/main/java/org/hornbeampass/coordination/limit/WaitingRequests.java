package org.hornbeampass.coordination.limit;

import org.hornbeampass.state.OrganisationId;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the waiting requests by priority and organisation, and selects which to serve or shed next.
 *
 * <p>The highest priority is served first, and within it the organisation furthest behind its fair
 * share. Each {@value #FAIR_TURN_INTERVAL}th request is selected by fair share alone, so that no
 * priority starves. The lowest priority is shed first, and within it the newest request of the
 * organisation whose waiting requests have the highest cost relative to its weight. Not
 * thread-safe: guarded by the queue that owns it.
 */
public final class WaitingRequests {
    /** Of how many selections one is by fair share alone. */
    public static final int FAIR_TURN_INTERVAL = 8;

    /** Which of an organisation's requests a selection by fair share alone takes. */
    public enum FairTurn {
        /** The first of its highest priority. */
        MOST_URGENT,
        /** The first of all, so that no priority of an organisation starves either. */
        LONGEST_WAITING
    }

    private final TreeMap<Integer, Map<OrganisationId, ArrayDeque<WaitingRequest>>> mByPriority =
            new TreeMap<>();
    private final FairShares mShares = new FairShares();
    private final FairTurn mFairTurn;
    private int mSize;
    private int mTurn;

    /** Creates an empty collection. */
    public WaitingRequests(FairTurn fairTurn) {
        mFairTurn = fairTurn;
    }

    /** One waiting request with its number; numbers grow in the order of submission. */
    public record WaitingRequest(long number, AdmissionRequest request) {}

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Returns the number of waiting requests with at least the given priority. */
    public int countAtOrAbove(int priority) {
        int size = 0;
        for (var organisations : mByPriority.tailMap(priority, true).values()) {
            for (ArrayDeque<WaitingRequest> queue : organisations.values()) {
                size += queue.size();
            }
        }
        return size;
    }

    /** Adds a request. */
    public void add(WaitingRequest waiting) {
        mByPriority
                .computeIfAbsent(waiting.request().priority(), p -> new HashMap<>())
                .computeIfAbsent(waiting.request().organisation(), o -> new ArrayDeque<>())
                .addLast(waiting);
        mSize++;
    }

    /** Removes a request; returns whether it was waiting. */
    public boolean remove(WaitingRequest waiting) {
        var organisations = mByPriority.get(waiting.request().priority());
        if (organisations == null) {
            return false;
        }
        ArrayDeque<WaitingRequest> queue = organisations.get(waiting.request().organisation());
        if (queue == null || !queue.remove(waiting)) {
            return false;
        }
        mSize--;
        if (queue.isEmpty()) {
            organisations.remove(waiting.request().organisation());
        }
        if (organisations.isEmpty()) {
            mByPriority.remove(waiting.request().priority());
        }
        return true;
    }

    /** Removes and returns the request to serve next; empty if none waits. */
    public Optional<WaitingRequest> takeNext() {
        if (mSize == 0) {
            return Optional.empty();
        }
        mTurn++;
        WaitingRequest next =
                mTurn % FAIR_TURN_INTERVAL == 0 ? nextByFairShare() : nextByPriority();
        remove(next);
        onServed(next.request());
        return Optional.of(next);
    }

    /** Records that a request is served, with or without waiting. */
    public void onServed(AdmissionRequest request) {
        mShares.onServed(request);
    }

    /** Returns the request to shed first; empty if none waits. */
    public Optional<WaitingRequest> firstToShed() {
        if (mSize == 0) {
            return Optional.empty();
        }
        return mByPriority.firstEntry().getValue().values().stream()
                .max(
                        Comparator.comparingDouble(WaitingRequests::costPerWeight)
                                .thenComparing(queue -> queue.peekLast().number()))
                .map(ArrayDeque::peekLast);
    }

    /** Returns the waiting requests whose deadline has passed, in the order of their submission. */
    public List<WaitingRequest> expired(long nowMs) {
        List<WaitingRequest> expired = new ArrayList<>();
        for (var organisations : mByPriority.values()) {
            for (ArrayDeque<WaitingRequest> queue : organisations.values()) {
                queue.stream()
                        .filter(w -> w.request().deadline().passed(nowMs))
                        .forEach(expired::add);
            }
        }
        expired.sort(Comparator.comparingLong(WaitingRequest::number));
        return expired;
    }

    private WaitingRequest nextByPriority() {
        var organisations = mByPriority.lastEntry().getValue();
        return organisations.get(mShares.next(organisations.keySet())).peekFirst();
    }

    private WaitingRequest nextByFairShare() {
        Map<OrganisationId, WaitingRequest> heads = new HashMap<>();
        for (var organisations : mByPriority.descendingMap().values()) {
            organisations.forEach((o, queue) -> heads.merge(o, queue.peekFirst(), this::fairer));
        }
        return heads.get(mShares.next(heads.keySet()));
    }

    private WaitingRequest fairer(WaitingRequest moreUrgent, WaitingRequest lessUrgent) {
        boolean waitsLonger = lessUrgent.number() < moreUrgent.number();
        return mFairTurn == FairTurn.LONGEST_WAITING && waitsLonger ? lessUrgent : moreUrgent;
    }

    private static double costPerWeight(ArrayDeque<WaitingRequest> queue) {
        double cost = 0;
        for (WaitingRequest waiting : queue) {
            cost += waiting.request().cost();
        }
        return cost / queue.peekLast().request().weight();
    }
}
