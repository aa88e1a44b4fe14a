package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.upstream.LoadEstimate;
import org.hornbeampass.coordination.upstream.UpstreamGroup;
import org.hornbeampass.coordination.upstream.UpstreamState;
import org.hornbeampass.state.upstream.PrefixDigests;

import java.util.SplittableRandom;

/**
 * The upstreams to which one attempt may be sent, collected for each choice in reused arrays.
 *
 * <p>Upstreams are filtered and those left out are counted by reason, so that a rejection can state
 * why no candidate is left. Guarded by {@code UpstreamTable#lock()}.
 */
final class Candidates {
    private static final int MAX_CANDIDATES = 16;
    private static final double STALL_RATIO = 8;
    private static final double MIN_STALL_MS = 1_000;

    private UpstreamState[] mStates = new UpstreamState[0];
    private long[] mHashes = new long[0];
    private int mSize;
    private int mAtLimit;
    private int mUnhealthy;
    private boolean mReportsReliable;
    private PrefixDigests mPrefix = PrefixDigests.none();

    /** How strictly upstreams are filtered. */
    enum Filter {
        /**
         * Only healthy upstreams whose requests make progress and whose reports have not stopped.
         */
        HEALTHY,
        /** Also stalled upstreams, if no others are left. */
        ALLOW_STALLED,
        /** Also ejected upstreams, if no others are left. */
        ALLOW_EJECTED
    }

    /**
     * Collects the upstreams of a group to which an attempt may be sent: all of a small group, or
     * the prompt's preferred upstream and a random sample of a large one.
     */
    void gather(
            long nowMs,
            UpstreamGroup group,
            RoutingQuery query,
            Filter filter,
            SplittableRandom random) {
        if (mStates.length < group.size()) {
            mStates = new UpstreamState[group.size()];
            mHashes = new long[group.size()];
        }
        mSize = 0;
        mAtLimit = 0;
        mUnhealthy = 0;
        mPrefix = query.prefix();
        mReportsReliable = group.areReportsReliable(nowMs);
        double stallMs = Math.max(MIN_STALL_MS, STALL_RATIO * group.meanFirstTokenMs(nowMs));
        boolean sampled = group.size() > MAX_CANDIDATES;
        int preferred =
                sampled && mPrefix.size() > 0
                        ? group.firstRanked(PredictedWait.affinityKey(mPrefix))
                        : -1;
        if (preferred >= 0) {
            addIfEligible(nowMs, group, preferred, query, filter, stallMs);
        }
        int first = sampled ? random.nextInt(group.size()) : 0;
        for (int step = 0; step < group.size(); step++) {
            if (sampled && mSize >= MAX_CANDIDATES) {
                return;
            }
            int index = (first + step) % group.size();
            if (index != preferred) {
                addIfEligible(nowMs, group, index, query, filter, stallMs);
            }
        }
    }

    private void addIfEligible(
            long nowMs,
            UpstreamGroup group,
            int index,
            RoutingQuery query,
            Filter filter,
            double stallMs) {
        UpstreamState state = group.member(index);
        if (isSuitable(state, query) && passesFilter(nowMs, state, filter, stallMs)) {
            mStates[mSize] = state;
            mHashes[mSize] = group.hash(index);
            mSize++;
        }
    }

    /** Returns the number of candidates. */
    int size() {
        return mSize;
    }

    /** Returns a candidate. */
    UpstreamState state(int index) {
        return mStates[index];
    }

    /** Returns the hash of a candidate's name. */
    long hash(int index) {
        return mHashes[index];
    }

    /** Returns the digests of the prompt's blocks. */
    PrefixDigests prefix() {
        return mPrefix;
    }

    /** Returns how many suitable upstreams were left out because they are at their limits. */
    int atLimit() {
        return mAtLimit;
    }

    /** Returns how many suitable upstreams were left out because they are ejected or stalled. */
    int unhealthy() {
        return mUnhealthy;
    }

    private static boolean isSuitable(UpstreamState state, RoutingQuery query) {
        return state.isLive()
                && state.serves(query.target())
                && (query.excluded().isEmpty() || !query.excluded().contains(state.id()));
    }

    private boolean passesFilter(long nowMs, UpstreamState state, Filter filter, double stallMs) {
        LoadEstimate load = state.load();
        if (filter != Filter.ALLOW_EJECTED && !state.health().admits(nowMs, load.inFlight())) {
            mUnhealthy++;
            return false;
        }
        boolean stopped = mReportsReliable && load.reportsStopped(nowMs);
        if (filter == Filter.HEALTHY && (stopped || load.silentMs(nowMs) >= stallMs)) {
            mUnhealthy++;
            return false;
        }
        if (load.inFlight() >= state.limit().limit()) {
            mAtLimit++;
            return false;
        }
        return true;
    }
}
