package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the finished requests of one router against objectives, in time buckets.
 *
 * <p>Invariants: memory use is bounded by {@link #MAX_SCOPES} organisations of about 8 KB each and
 * by the number of causes in each bucket; requests of organisations beyond the bound are counted in
 * the total only. Thread-safe: one lock guards all state, and no callback runs while it is held.
 */
public final class BurnWindows {
    /** The largest number of organisations that are counted individually. */
    public static final int MAX_SCOPES = 1_000;

    private static final long CAUSES_MS = 60_000;
    private static final int CAUSE_BUCKETS = 61;
    private static final int MAX_CAUSES = 50;

    private final Object mLock = new Object();
    private final Objectives mObjectives;
    private final ScopeBuckets mAll = new ScopeBuckets();
    private final Map<OrganisationId, ScopeBuckets> mScopes = new HashMap<>();
    private final CauseRing mCauses = new CauseRing(CAUSES_MS, CAUSE_BUCKETS);
    private final long mSinceMs;

    /**
     * Creates empty counts; counting begins at {@code nowMs}.
     *
     * @param nowMs the wall-clock time in milliseconds since 1970, the same on all routers
     * @param objectives the objectives to count against
     */
    public BurnWindows(long nowMs, Objectives objectives) {
        mSinceMs = nowMs;
        mObjectives = objectives;
    }

    /** Counts a finished request. */
    public void record(long nowMs, SloSample sample) {
        synchronized (mLock) {
            Optional<ScopeBuckets> own = scope(nowMs, sample.organisation());
            for (Objective objective : Objective.values()) {
                add(nowMs, Optional.empty(), mAll, objective, sample);
                if (own.isPresent()) {
                    Optional<OrganisationId> id = Optional.of(sample.organisation());
                    add(nowMs, id, own.get(), objective, sample);
                }
            }
        }
    }

    /**
     * Returns the counts of all windows that end now.
     *
     * @param nowMs the wall-clock time in milliseconds since 1970
     */
    public BurnReport report(long nowMs) {
        synchronized (mLock) {
            List<ScopeBurn> scopes = new ArrayList<>();
            addScope(nowMs, Optional.empty(), mAll, scopes);
            mScopes.forEach((id, buckets) -> addScope(nowMs, Optional.of(id), buckets, scopes));
            return new BurnReport(mSinceMs, scopes, causes(nowMs), mAll.points(nowMs));
        }
    }

    private void add(
            long nowMs,
            Optional<OrganisationId> id,
            ScopeBuckets buckets,
            Objective objective,
            SloSample sample) {
        ObjectiveTerms terms = mObjectives.terms(id, objective);
        Optional<Boolean> good = objective.evaluate(sample, terms.thresholdMs());
        if (good.isEmpty()) {
            return;
        }
        buckets.add(nowMs, objective, good.get());
        if (id.isEmpty() && !good.get()) {
            mCauses.add(nowMs, BurnCause.of(objective, sample));
        }
    }

    private Optional<ScopeBuckets> scope(long nowMs, OrganisationId id) {
        if (mScopes.size() >= MAX_SCOPES && !mScopes.containsKey(id)) {
            long oldestMs = nowMs - BurnWindow.D3.lengthMs();
            mScopes.values().removeIf(s -> s.lastMs() < oldestMs);
        }
        if (mScopes.size() >= MAX_SCOPES && !mScopes.containsKey(id)) {
            return Optional.empty();
        }
        return Optional.of(mScopes.computeIfAbsent(id, i -> new ScopeBuckets()));
    }

    private void addScope(
            long nowMs, Optional<OrganisationId> id, ScopeBuckets buckets, List<ScopeBurn> out) {
        for (Objective objective : Objective.values()) {
            Map<BurnWindow, Counts> counts = new java.util.EnumMap<>(BurnWindow.class);
            for (BurnWindow window : BurnWindow.values()) {
                Counts sum = buckets.sum(nowMs, window, objective);
                if (sum.total() > 0) {
                    counts.put(window, sum);
                }
            }
            if (!counts.isEmpty()) {
                out.add(new ScopeBurn(id, objective, mObjectives.terms(id, objective), counts));
            }
        }
    }

    private List<CauseCount> causes(long nowMs) {
        return mCauses.sum(nowMs, BurnWindow.H1.lengthMs()).entrySet().stream()
                .map(e -> new CauseCount(e.getKey(), e.getValue()))
                .sorted(Comparator.comparingLong(CauseCount::count).reversed())
                .limit(MAX_CAUSES)
                .toList();
    }
}
