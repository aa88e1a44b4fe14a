package org.hornbeampass.coordination.limit;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.state.OrganisationId;

import java.util.Collection;

/**
 * Keeps how much each organisation was served, so that the one furthest behind its share is next.
 *
 * <p>This is start-time fair queueing: an organisation's virtual time grows by cost over weight
 * with each request served; one that comes back after a pause starts at the present virtual time,
 * so that it can't claim what it did not use. Not thread-safe: guarded by the queue's lock.
 */
final class FairShares {
    private static final int MAX_ORGANISATIONS = 10_000;

    private final Object2ObjectHashMap<OrganisationId, Double> mVirtualTimes =
            new Object2ObjectHashMap<>();
    private double mVirtualNow;

    /** Returns the organisation that is to be served next; there is at least one. */
    OrganisationId next(Collection<OrganisationId> waiting) {
        OrganisationId best = null;
        double bestTime = Double.MAX_VALUE;
        for (OrganisationId each : waiting) {
            double time = virtualTime(each);
            boolean before =
                    best == null
                            || time < bestTime
                            || (time == bestTime && each.compareTo(best) < 0);
            if (before) {
                best = each;
                bestTime = time;
            }
        }
        return best;
    }

    /** Counts a request that is served. */
    void onServed(AdmissionRequest request) {
        double start = virtualTime(request.organisation());
        mVirtualNow = Math.max(mVirtualNow, start);
        if (mVirtualTimes.size() >= MAX_ORGANISATIONS) {
            mVirtualTimes.values().removeIf(time -> time <= mVirtualNow);
        }
        double end = start + (double) request.cost() / request.weight();
        mVirtualTimes.put(request.organisation(), end);
    }

    private double virtualTime(OrganisationId organisation) {
        Double time = mVirtualTimes.get(organisation);
        return time == null ? mVirtualNow : Math.max(mVirtualNow, time);
    }
}
