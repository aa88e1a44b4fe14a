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
 * Holds waiting requests by priority and organisation, and decides which is served and which shed.
 *
 * <p>The highest priority is served first, and within it the organisation furthest behind its fair
 * share; each {@value #FAIR_TURN_INTERVAL}th turn goes by fair share alone, so that no priority
 * starves. The lowest priority is shed first, and within it the newest request of the organisation
 * that waits with the most cost for its weight. Not thread-safe: guarded by the queue's lock.
 */
final class WaitingRequests {
    private static final int FAIR_TURN_INTERVAL = 8;

    private final TreeMap<Integer, Map<OrganisationId, ArrayDeque<WaitingRequest>>> mByPriority =
            new TreeMap<>();
    private final FairShares mShares = new FairShares();
    private int mSize;
    private int mTurn;

    /** One waiting request with its number. */
    record WaitingRequest(long number, AdmissionRequest request) {}

    int size() {
        return mSize;
    }

    /** Returns how many wait with at least a given priority. */
    int countAtOrAbove(int priority) {
        int size = 0;
        for (var organisations : mByPriority.tailMap(priority, true).values()) {
            for (ArrayDeque<WaitingRequest> line : organisations.values()) {
                size += line.size();
            }
        }
        return size;
    }

    void add(WaitingRequest waiting) {
        mByPriority
                .computeIfAbsent(waiting.request().priority(), p -> new HashMap<>())
                .computeIfAbsent(waiting.request().organisation(), o -> new ArrayDeque<>())
                .addLast(waiting);
        mSize++;
    }

    boolean remove(WaitingRequest waiting) {
        var organisations = mByPriority.get(waiting.request().priority());
        if (organisations == null) {
            return false;
        }
        ArrayDeque<WaitingRequest> line = organisations.get(waiting.request().organisation());
        if (line == null || !line.remove(waiting)) {
            return false;
        }
        mSize--;
        if (line.isEmpty()) {
            organisations.remove(waiting.request().organisation());
        }
        if (organisations.isEmpty()) {
            mByPriority.remove(waiting.request().priority());
        }
        return true;
    }

    /** Takes out the request that is served next; empty where none waits. */
    Optional<WaitingRequest> takeNext() {
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

    /** Counts a request that is served without waiting. */
    void onServed(AdmissionRequest request) {
        mShares.onServed(request);
    }

    /** Returns the request that is shed first; empty where none waits. */
    Optional<WaitingRequest> firstToShed() {
        if (mSize == 0) {
            return Optional.empty();
        }
        return mByPriority.firstEntry().getValue().values().stream()
                .max(
                        Comparator.comparingDouble(WaitingRequests::costPerWeight)
                                .thenComparing(line -> line.peekLast().number()))
                .map(ArrayDeque::peekLast);
    }

    /** Returns those whose deadline has passed. */
    List<WaitingRequest> expired(long nowMs) {
        List<WaitingRequest> late = new ArrayList<>();
        for (var organisations : mByPriority.values()) {
            for (ArrayDeque<WaitingRequest> line : organisations.values()) {
                line.stream().filter(w -> w.request().deadline().passed(nowMs)).forEach(late::add);
            }
        }
        late.sort(Comparator.comparingLong(WaitingRequest::number));
        return late;
    }

    private WaitingRequest nextByPriority() {
        var organisations = mByPriority.lastEntry().getValue();
        return organisations.get(mShares.next(organisations.keySet())).peekFirst();
    }

    private WaitingRequest nextByFairShare() {
        Map<OrganisationId, WaitingRequest> heads = new HashMap<>();
        for (var organisations : mByPriority.descendingMap().values()) {
            organisations.forEach((o, line) -> heads.putIfAbsent(o, line.peekFirst()));
        }
        return heads.get(mShares.next(heads.keySet()));
    }

    private static double costPerWeight(ArrayDeque<WaitingRequest> line) {
        double cost = 0;
        for (WaitingRequest waiting : line) {
            cost += waiting.request().cost();
        }
        return cost / line.peekLast().request().weight();
    }
}
