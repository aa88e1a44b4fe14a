package org.hornbeampass.coordination.limit;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.state.OrganisationId;

import java.util.Collection;

/**
 * Tracks how much each organisation was served and selects the one furthest behind its fair share.
 *
 * <p>Implements start-time fair queueing: an organisation's virtual time grows by cost divided by
 * weight with each request served. An organisation that returns after a pause starts at the present
 * virtual time, so it can't claim capacity that it did not use. Not thread-safe: guarded by the
 * queue that owns it.
 */
final class FairShares {
    private static final int MAX_ORGANISATIONS = 10_000;

    private final Object2ObjectHashMap<OrganisationId, Double> mVirtualTimes =
            new Object2ObjectHashMap<>();
    private double mVirtualNow;

    /** Returns the organisation to serve next; {@code waiting} must not be empty. */
    OrganisationId next(Collection<OrganisationId> waiting) {
        OrganisationId best = null;
        double bestTime = Double.MAX_VALUE;
        for (OrganisationId each : waiting) {
            double time = virtualTime(each);
            boolean better =
                    best == null
                            || time < bestTime
                            || (time == bestTime && each.compareTo(best) < 0);
            if (better) {
                best = each;
                bestTime = time;
            }
        }
        return best;
    }

    /** Records that a request is served. */
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
