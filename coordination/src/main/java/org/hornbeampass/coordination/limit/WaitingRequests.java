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
 * share; each {@value #FAIR_TURN}th turn goes by fair share alone, so that no priority starves. The
 * lowest priority is shed first, and within it the newest request of the organisation that waits
 * with the most cost for its weight. Not thread-safe: guarded by the queue's lock.
 */
final class WaitingRequests {
    private static final int FAIR_TURN = 8;

    private final TreeMap<Integer, Map<OrganisationId, ArrayDeque<Waiting>>> mByPriority =
            new TreeMap<>();
    private final FairShares mShares = new FairShares();
    private int mSize;
    private int mTurn;

    /** One waiting request with its number. */
    record Waiting(long number, AdmissionRequest request) {}

    int size() {
        return mSize;
    }

    /** Returns how many wait with at least a given priority. */
    int sizeFrom(int priority) {
        int size = 0;
        for (var organisations : mByPriority.tailMap(priority, true).values()) {
            for (ArrayDeque<Waiting> line : organisations.values()) {
                size += line.size();
            }
        }
        return size;
    }

    void add(Waiting waiting) {
        mByPriority
                .computeIfAbsent(waiting.request().priority(), p -> new HashMap<>())
                .computeIfAbsent(waiting.request().organisation(), o -> new ArrayDeque<>())
                .addLast(waiting);
        mSize++;
    }

    boolean remove(Waiting waiting) {
        var organisations = mByPriority.get(waiting.request().priority());
        if (organisations == null) {
            return false;
        }
        ArrayDeque<Waiting> line = organisations.get(waiting.request().organisation());
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
    Optional<Waiting> takeNext() {
        if (mSize == 0) {
            return Optional.empty();
        }
        mTurn++;
        Waiting next = mTurn % FAIR_TURN == 0 ? fairest() : ofHighestPriority();
        remove(next);
        served(next.request());
        return Optional.of(next);
    }

    /** Counts a request that is served without waiting. */
    void served(AdmissionRequest request) {
        mShares.served(request);
    }

    /** Returns the request that is shed first; empty where none waits. */
    Optional<Waiting> firstToShed() {
        if (mSize == 0) {
            return Optional.empty();
        }
        return mByPriority.firstEntry().getValue().values().stream()
                .max(
                        Comparator.comparingDouble(WaitingRequests::weighedCost)
                                .thenComparing(line -> line.peekLast().number()))
                .map(ArrayDeque::peekLast);
    }

    /** Returns those whose deadline has passed. */
    List<Waiting> late(long nowMs) {
        List<Waiting> late = new ArrayList<>();
        for (var organisations : mByPriority.values()) {
            for (ArrayDeque<Waiting> line : organisations.values()) {
                line.stream().filter(w -> w.request().deadline().passed(nowMs)).forEach(late::add);
            }
        }
        late.sort(Comparator.comparingLong(Waiting::number));
        return late;
    }

    private Waiting ofHighestPriority() {
        var organisations = mByPriority.lastEntry().getValue();
        return organisations.get(mShares.next(organisations.keySet())).peekFirst();
    }

    private Waiting fairest() {
        Map<OrganisationId, Waiting> heads = new HashMap<>();
        for (var organisations : mByPriority.descendingMap().values()) {
            organisations.forEach((o, line) -> heads.putIfAbsent(o, line.peekFirst()));
        }
        return heads.get(mShares.next(heads.keySet()));
    }

    private static double weighedCost(ArrayDeque<Waiting> line) {
        double cost = 0;
        for (Waiting waiting : line) {
            cost += waiting.request().cost();
        }
        return cost / line.peekLast().request().weight();
    }
}
