package org.hornbeampass.coordination.upstream;

import org.hornbeampass.coordination.limit.ConcurrencyLimit;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.LoadReport;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Optional;

/**
 * The state of one upstream as this VM knows it.
 *
 * <p>Guarded by {@link UpstreamTable#lock()}.
 */
public final class UpstreamState {
    private static final double SLOW_START_MS = 10_000;
    private static final double INITIAL_WEIGHT = 0.1;

    private final IncarnationTracker mIncarnations;
    private final LoadEstimate mLoad = new LoadEstimate();
    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final PrefixCacheEstimate mCachedPrefixes;
    private final ConcurrencyLimit mLimit;
    private UpstreamSpec mSpec;
    private Distance mDistance;
    private Optional<LoadReport> mReport = Optional.empty();

    UpstreamState(long nowMs, UpstreamSpec spec, Distance distance, RoutingSettings settings) {
        mSpec = spec;
        mDistance = distance;
        mIncarnations = new IncarnationTracker(nowMs);
        mCachedPrefixes = new PrefixCacheEstimate(settings.maxCachedBlocks());
        mLimit = new ConcurrencyLimit(spec.maxConcurrent(), settings.adaptiveLimits());
    }

    /** Returns the upstream's name. */
    public UpstreamId id() {
        return mSpec.id();
    }

    /** Returns its settings. */
    public UpstreamSpec spec() {
        return mSpec;
    }

    /** Returns its distance from this VM. */
    public Distance distance() {
        return mDistance;
    }

    /** Returns whether its newest known incarnation may get new work. */
    public boolean isLive() {
        return mIncarnations.isLive();
    }

    /** Returns the newest known incarnation. */
    public long incarnation() {
        return mIncarnations.incarnation();
    }

    /** Returns the estimate of its load. */
    public LoadEstimate load() {
        return mLoad;
    }

    /** Returns its failures and ejection. */
    public UpstreamHealth health() {
        return mHealth;
    }

    /** Returns the limit of this VM's requests in progress there. */
    public ConcurrencyLimit limit() {
        return mLimit;
    }

    /** Returns the last load report; empty where this incarnation has sent none. */
    public Optional<LoadReport> report() {
        return mReport;
    }

    /** Returns the estimated number of leading blocks of a prompt that are cached there. */
    public int matchingBlocks(PrefixDigests prefix) {
        return mCachedPrefixes.matchingBlocks(prefix);
    }

    /**
     * Returns whether it can serve a target: for a model, according to its last load report, or to
     * its settings while there is no report.
     */
    public boolean serves(WorkTarget target) {
        if (target.service().isPresent()) {
            return mSpec.service().equals(target.service());
        }
        if (mReport.isEmpty()) {
            return mSpec.model().equals(target.model());
        }
        LoadReport report = mReport.get();
        return report.readyModels().contains(target.model().orElseThrow())
                && (target.adapter().isEmpty()
                        || report.readyAdapters().contains(target.adapter().get()));
    }

    /**
     * Returns the share of its full load that a new or recovered upstream may get, from 0.1 to 1
     * (slow start).
     */
    public double slowStartWeight(long nowMs) {
        long sinceMs = Math.max(mIncarnations.liveSinceMs(), mHealth.recoveredAtMs());
        return Math.min(1, INITIAL_WEIGHT + Math.max(0, nowMs - sinceMs) / SLOW_START_MS);
    }

    /** Counts a request that was routed to this upstream. */
    public void onStarted(long nowMs) {
        mLoad.onStarted(nowMs);
    }

    /** Records a first token, after which the prompt is assumed to be cached. */
    public void onFirstToken(
            long nowMs, long startedAtMs, double loadAtStart, PrefixDigests prefix) {
        double waitedMs = (double) (nowMs - startedAtMs);
        mLimit.onFirstToken(waitedMs, mLoad.inFlight());
        mLoad.onFirstToken(nowMs, waitedMs, loadAtStart);
        mCachedPrefixes.onServed(prefix);
    }

    /** Records progress of an answer and the longest recent gap between its parts. */
    public void onProgress(long nowMs, long gapMs) {
        mLoad.onProgress(nowMs, gapMs);
    }

    /** Records the end of a request. */
    public void onEnded(long nowMs, boolean awaitedFirstToken, boolean progress) {
        mLoad.onEnded(nowMs, awaitedFirstToken, progress);
    }

    IncarnationTracker incarnations() {
        return mIncarnations;
    }

    PrefixCacheEstimate cachedPrefixes() {
        return mCachedPrefixes;
    }

    void configure(UpstreamSpec spec, Distance distance) {
        mSpec = spec;
        mDistance = distance;
        mLimit.setMax(spec.maxConcurrent());
    }

    void onReport(long nowMs, LoadReport report) {
        boolean newer = mReport.map(r -> r.reportedAtMs() <= report.reportedAtMs()).orElse(true);
        if (newer) {
            mReport = Optional.of(report);
            mLoad.onReport(nowMs, report);
        }
    }

    void reset(long nowMs) {
        mReport = Optional.empty();
        mLoad.reset();
        mCachedPrefixes.reset();
        mHealth.reset(nowMs);
    }
}
