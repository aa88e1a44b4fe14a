package org.hornbeampass.standin.engine;

import org.hornbeampass.standin.admin.LaggedValue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/**
 * The timing of a model engine that batches continuously, in virtual or real time.
 *
 * <p>Jobs wait by priority and join the batch between steps. A step prefills prompts, less their
 * cached prefix, and decodes one token for each sequence whose prompt is whole; the step that makes
 * a prompt whole also gives its first token. Invariants: at most {@code maxBatch} sequences run and
 * as many jobs as {@code maxBatch + maxWaiting} are present; the outcome depends on the calls and
 * their times only. A driver offers jobs, and calls {@link #step} at {@link #nextStepAt}; being
 * late changes no event's time. Not thread-safe.
 */
public final class EngineModel {
    private static final long US_PER_MS = 1_000;

    private final EngineTiming mTiming;
    private final PrefixCache mCache;
    private final CacheEventLog mCacheEvents;
    private final LaggedValue<LoadReport> mReported;
    private final PriorityQueue<Sequence> mWaiting = new PriorityQueue<>(Sequence::compareUrgency);
    private final Map<String, Sequence> mRunning = new LinkedHashMap<>();
    private OptionalLong mStepEndUs = OptionalLong.empty();
    private double mSlowFactor = 1;
    private boolean mFrozen;
    private long mArrivals;
    private long mTokensGenerated;
    private long mBlocksAsked;
    private long mBlocksCached;

    /** What became of an offered job. */
    public enum Offer {
        ACCEPTED,
        QUEUE_FULL,
        DUPLICATE_ATTEMPT
    }

    /** Creates an idle engine. */
    public EngineModel(EngineTiming timing, EngineNews news) {
        mTiming = timing;
        mCache = new PrefixCache(timing.cacheBlocks());
        mCacheEvents = new CacheEventLog(news);
        mReported = new LaggedValue<>(news.loadLagMs(), load(0));
    }

    /** Offers a job, which joins the batch at the next step that has room. */
    public Offer offer(long nowMs, EngineJob job) {
        if (isPresent(job.attemptId())) {
            return Offer.DUPLICATE_ATTEMPT;
        }
        int present = mWaiting.size() + mRunning.size();
        if (present >= mTiming.maxWaiting() + mTiming.maxBatch()) {
            return Offer.QUEUE_FULL;
        }
        mWaiting.add(new Sequence(job, mArrivals++));
        if (mStepEndUs.isEmpty()) {
            beginStep(nowMs * US_PER_MS);
        }
        mReported.set(nowMs, load(nowMs));
        return Offer.ACCEPTED;
    }

    /**
     * Ends a job early.
     *
     * @return how many tokens it had generated; empty where no such job is present
     */
    public OptionalInt cancel(long nowMs, String attemptId) {
        Optional<Sequence> gone = remove(attemptId);
        mReported.set(nowMs, load(nowMs));
        return gone.isPresent() ? OptionalInt.of(gone.get().generated()) : OptionalInt.empty();
    }

    /**
     * Returns when {@link #step} has something to do, in milliseconds; empty while idle or frozen.
     */
    public OptionalLong nextStepAt() {
        if (mFrozen || mStepEndUs.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(ceilToMs(mStepEndUs.getAsLong()));
    }

    /** Runs all steps that have ended by now, and returns what they brought about, in order. */
    public List<EngineEvent> step(long nowMs) {
        List<EngineEvent> events = new ArrayList<>();
        while (!mFrozen && mStepEndUs.isPresent() && mStepEndUs.getAsLong() <= nowMs * US_PER_MS) {
            long endUs = mStepEndUs.getAsLong();
            endStep(ceilToMs(endUs), events);
            beginStep(endUs);
        }
        if (!events.isEmpty()) {
            mReported.set(nowMs, load(nowMs));
        }
        return events;
    }

    /** Makes all further steps take a multiple of their time. */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** Stops all steps, or goes on with them from now. */
    public void setFrozen(long nowMs, boolean frozen) {
        if (mFrozen && !frozen && mStepEndUs.isPresent()) {
            long us = Math.max(mStepEndUs.getAsLong(), nowMs * US_PER_MS);
            mStepEndUs = OptionalLong.of(us);
        }
        mFrozen = frozen;
    }

    /** Returns the load as it is. */
    public LoadReport load(long nowMs) {
        return new LoadReport(
                nowMs,
                mRunning.size(),
                mWaiting.size(),
                mTiming.maxBatch(),
                mCache.size(),
                mTokensGenerated);
    }

    /** Returns how many prompt blocks were asked for since the start. */
    public long blocksAsked() {
        return mBlocksAsked;
    }

    /** Returns how many of them the prefix cache held. */
    public long blocksCached() {
        return mBlocksCached;
    }

    /** Returns the load as the engine reports it: as it was the lag ago. */
    public LoadReport reportedLoad(long nowMs) {
        return mReported.get(nowMs).describing(nowMs - mReported.lagMs());
    }

    /** Changes the lag of load reports, in milliseconds. */
    public void setLoadLagMs(long lagMs) {
        mReported.setLagMs(lagMs);
    }

    /** Returns the cache events that can be seen by now, after a sequence number. */
    public List<CacheEvent> cacheEvents(long nowMs, long afterSequence, int limit) {
        return mCacheEvents.after(nowMs, afterSequence, limit);
    }

    private static long ceilToMs(long us) {
        return (us + US_PER_MS - 1) / US_PER_MS;
    }

    private void beginStep(long startUs) {
        admitWaiting();
        if (mRunning.isEmpty()) {
            mStepEndUs = OptionalLong.empty();
            return;
        }
        int decoding = 0;
        int available = mTiming.prefillTokensPerStep();
        for (Sequence sequence : mRunning.values()) {
            if (sequence.decodes()) {
                decoding++;
            } else {
                available -= sequence.planPrefill(available);
            }
        }
        int prefill = mTiming.prefillTokensPerStep() - available;
        double ms = mTiming.stepMs(decoding, prefill) * mSlowFactor;
        mStepEndUs = OptionalLong.of(startUs + Math.max(1, Math.round(ms * US_PER_MS)));
    }

    private void admitWaiting() {
        while (mRunning.size() < mTiming.maxBatch() && !mWaiting.isEmpty()) {
            Sequence sequence = mWaiting.remove();
            long[] hashes = sequence.job().prompt().blockHashes();
            int cached = mCache.hit(hashes);
            mBlocksAsked += hashes.length;
            mBlocksCached += cached;
            sequence.admit(cached);
            mRunning.put(sequence.job().attemptId(), sequence);
        }
    }

    private void endStep(long nowMs, List<EngineEvent> events) {
        Iterator<Sequence> each = mRunning.values().iterator();
        while (each.hasNext()) {
            Sequence sequence = each.next();
            if (!sequence.decodes() && !endPrefill(nowMs, sequence)) {
                continue;
            }
            if (!sequence.finished()) {
                mTokensGenerated++;
                events.add(new EngineEvent.Token(sequence.job(), nowMs, sequence.takeOffset()));
            }
            if (sequence.finished()) {
                events.add(new EngineEvent.Finished(sequence.job(), nowMs));
                each.remove();
            }
        }
    }

    private boolean endPrefill(long nowMs, Sequence sequence) {
        if (!sequence.finishPrefill()) {
            return false;
        }
        mCache.add(
                sequence.job().prompt().blockHashes(),
                hash -> mCacheEvents.add(nowMs, CacheEvent.Kind.STORED, hash),
                hash -> mCacheEvents.add(nowMs, CacheEvent.Kind.EVICTED, hash));
        return true;
    }

    private boolean isPresent(String attemptId) {
        return mRunning.containsKey(attemptId)
                || mWaiting.stream().anyMatch(s -> s.job().attemptId().equals(attemptId));
    }

    private Optional<Sequence> remove(String attemptId) {
        Sequence running = mRunning.remove(attemptId);
        if (running != null) {
            return Optional.of(running);
        }
        Optional<Sequence> waiting =
                mWaiting.stream().filter(s -> s.job().attemptId().equals(attemptId)).findFirst();
        waiting.ifPresent(mWaiting::remove);
        return waiting;
    }
}
