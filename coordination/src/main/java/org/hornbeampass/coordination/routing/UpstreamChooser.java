package org.hornbeampass.coordination.routing;

import io.vavr.control.Either;

import org.agrona.collections.Long2ObjectHashMap;
import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.limit.AttemptTimeouts;
import org.hornbeampass.coordination.upstream.LoadEstimate;
import org.hornbeampass.coordination.upstream.OutlierDetector;
import org.hornbeampass.coordination.upstream.UpstreamGroup;
import org.hornbeampass.coordination.upstream.UpstreamHealth;
import org.hornbeampass.coordination.upstream.UpstreamState;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.PromptTokens;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the upstream of each attempt and updates the upstreams' state from the course of
 * attempts.
 *
 * <p>Invariants: an upstream whose incarnation has ended is never chosen; an upstream never has
 * more attempts of this VM in progress than its limit; each choice counts from {@link #choose} to
 * the first {@link #onEnded}, and later calls for it have no effect. Thread-safe: all state is
 * guarded by {@link UpstreamTable#lock()}.
 */
public final class UpstreamChooser {
    private static final Candidates.Filter[] FILTERS = Candidates.Filter.values();
    private static final long OVERLOADED_RETRY_MS = 1_000;
    private static final long NO_UPSTREAM_RETRY_MS = 2_000;

    private final UpstreamTable mTable;
    private final RoutingPolicy mPolicy;
    private final SplittableRandom mRandom;
    private final OutlierDetector mDetector = new OutlierDetector();
    private final Candidates mCandidates = new Candidates();
    private final Long2ObjectHashMap<Attempt> mAttempts = new Long2ObjectHashMap<>();
    private long mLastAttempt;

    /** An attempt in progress. */
    private static final class Attempt {
        private final UpstreamState mState;
        private final UpstreamGroup mGroup;
        private final RoutingQuery mQuery;
        private final double mLoadAtStart;
        private long mSentAtMs;
        private boolean mAwaitsFirst = true;

        private Attempt(long nowMs, UpstreamState state, UpstreamGroup group, RoutingQuery query) {
            mState = state;
            mGroup = group;
            mQuery = query;
            LoadEstimate load = state.load();
            mLoadAtStart = load.inFlight() + load.reportWeight(nowMs) * load.othersLoad();
            mSentAtMs = nowMs;
        }
    }

    /**
     * Creates a chooser.
     *
     * @param table the state of the upstreams
     * @param policy chooses among the candidates
     * @param seed seeds the random source; must differ between VMs
     */
    public UpstreamChooser(UpstreamTable table, RoutingPolicy policy, long seed) {
        mTable = table;
        mPolicy = policy;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Chooses an upstream and counts the attempt towards its limit.
     *
     * @return the choice, or {@code OVERLOADED} if suitable upstreams exist but are at their
     *     limits, {@code NO_UPSTREAM} if none is suitable, {@code DEADLINE_EXCEEDED_NOT_RUN} if the
     *     deadline has passed; after a failure nothing has been sent
     */
    public Either<Failure, UpstreamChoice> choose(long nowMs, RoutingQuery query) {
        if (query.deadline().passed(nowMs)) {
            return Either.left(
                    Failure.of(
                            ErrorKind.DEADLINE_EXCEEDED_NOT_RUN,
                            "the deadline passed before an upstream was chosen"));
        }
        synchronized (mTable.lock()) {
            Optional<UpstreamGroup> group = mTable.group(query.target());
            if (group.isEmpty()) {
                return Either.left(noUpstream(query));
            }
            gatherCandidates(nowMs, group.get(), query);
            if (mCandidates.size() == 0) {
                return Either.left(
                        mCandidates.atLimit() > 0 ? overloaded(query) : noUpstream(query));
            }
            int index = mPolicy.pick(nowMs, mCandidates, mRandom);
            return Either.right(start(nowMs, mCandidates.state(index), group.get(), query));
        }
    }

    /**
     * Returns how many requests for a target this VM may have in progress at all live and healthy
     * upstreams together. This is the capacity of the target's {@code AdmissionQueue}.
     */
    public int capacity(long nowMs, WorkTarget target) {
        synchronized (mTable.lock()) {
            Optional<UpstreamGroup> group = mTable.group(target);
            int places = 0;
            for (int i = 0; group.isPresent() && i < group.get().size(); i++) {
                UpstreamState state = group.get().member(i);
                boolean open =
                        state.isLive()
                                && state.serves(target)
                                && state.health().state(nowMs) == UpstreamHealth.State.HEALTHY;
                places += open ? state.limit().limit() : 0;
            }
            return places;
        }
    }

    /** Records that an attempt's first byte is being sent. */
    public void onStarted(long nowMs, UpstreamChoice choice) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.get(choice.attempt());
            if (attempt != null) {
                attempt.mSentAtMs = nowMs;
            }
        }
    }

    /** Records an attempt's first token, or for a plain service the start of its answer. */
    public void onFirstToken(long nowMs, UpstreamChoice choice) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.get(choice.attempt());
            if (attempt == null || !attempt.mAwaitsFirst) {
                return;
            }
            attempt.mAwaitsFirst = false;
            PrefixDigests prefix = attempt.mQuery.prefix();
            attempt.mState.onFirstToken(nowMs, attempt.mSentAtMs, attempt.mLoadAtStart, prefix);
            mDetector.onFirstToken(nowMs, attempt.mGroup, attempt.mState);
        }
    }

    /**
     * Returns how long an attempt in progress may go without progress. Throws {@link
     * IllegalArgumentException} if the attempt has ended.
     */
    public AttemptTimeouts timeouts(long nowMs, UpstreamChoice choice, AnswerKind kind) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.get(choice.attempt());
            if (attempt == null) {
                throw new IllegalArgumentException("attempt " + choice.attempt() + " has ended");
            }
            LoadEstimate load = attempt.mState.load();
            double predictedMs = load.msPerRequest() * (attempt.mLoadAtStart + 1);
            AttemptTimeouts.Estimates known =
                    new AttemptTimeouts.Estimates(
                            Math.max(predictedMs, attempt.mGroup.meanFirstTokenMs(nowMs)),
                            attempt.mGroup.meanGapMs(),
                            attempt.mState.distance().roundTripMs(),
                            (long) attempt.mQuery.prefix().size() * PromptTokens.TOKENS_PER_BLOCK);
            return AttemptTimeouts.decide(nowMs, known, kind, attempt.mQuery.deadline());
        }
    }

    /**
     * Records progress of an attempt's answer.
     *
     * @param gapMs the longest gap between its parts since the last call, in milliseconds
     */
    public void onProgress(long nowMs, UpstreamChoice choice, long gapMs) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.get(choice.attempt());
            if (attempt != null) {
                attempt.mState.onProgress(nowMs, gapMs);
            }
        }
    }

    /**
     * Returns when any attempt of this VM last made progress at the attempt's upstream, in
     * milliseconds; {@code Long.MIN_VALUE} if none has or if the attempt has ended.
     */
    public long lastProgressMs(UpstreamChoice choice) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.get(choice.attempt());
            return attempt == null ? Long.MIN_VALUE : attempt.mState.load().lastProgressMs();
        }
    }

    /**
     * Ends an attempt: it no longer counts towards its upstream's limit, and its outcome updates
     * the upstream's health.
     */
    public void onEnded(long nowMs, UpstreamChoice choice, AttemptOutcome outcome) {
        synchronized (mTable.lock()) {
            Attempt attempt = mAttempts.remove(choice.attempt());
            if (attempt == null) {
                return;
            }
            attempt.mState.onEnded(nowMs, attempt.mAwaitsFirst, outcome.showsUpstreamHealthy());
            if (outcome.upstreamProblem() == AttemptOutcome.UpstreamProblem.OVERLOAD) {
                attempt.mState.limit().onOverloadRefusal();
            }
            mDetector.onOutcome(nowMs, attempt.mGroup, attempt.mState, outcome);
        }
    }

    private void gatherCandidates(long nowMs, UpstreamGroup group, RoutingQuery query) {
        for (Candidates.Filter sieve : FILTERS) {
            mCandidates.gather(nowMs, group, query, sieve, mRandom);
            if (mCandidates.size() > 0
                    || mCandidates.atLimit() > 0
                    || mCandidates.unhealthy() == 0) {
                return;
            }
        }
    }

    private UpstreamChoice start(
            long nowMs, UpstreamState state, UpstreamGroup group, RoutingQuery query) {
        long number = ++mLastAttempt;
        int cachedBlocks = state.matchingBlocks(query.prefix());
        mAttempts.put(number, new Attempt(nowMs, state, group, query));
        state.onStarted(nowMs);
        return new UpstreamChoice(
                number,
                state.id(),
                state.spec().baseUri(),
                state.spec().domain(),
                state.incarnation(),
                cachedBlocks,
                nowMs);
    }

    private static Failure overloaded(RoutingQuery query) {
        return Failure.retryAfter(
                ErrorKind.OVERLOADED,
                "each upstream of " + query.target().description() + " is at its limit",
                OVERLOADED_RETRY_MS);
    }

    private static Failure noUpstream(RoutingQuery query) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM,
                "no upstream is ready for " + query.target().description(),
                NO_UPSTREAM_RETRY_MS);
    }
}
