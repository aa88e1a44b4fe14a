package org.hornbeampass.experiment.routing;

import org.hornbeampass.standin.engine.EngineEvent;
import org.hornbeampass.standin.engine.EngineJob;
import org.hornbeampass.standin.engine.EngineModel;
import org.hornbeampass.standin.engine.EngineNews;
import org.hornbeampass.standin.engine.EngineTiming;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.CacheEvent;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.LoadReport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One upstream in virtual time: the stand-in engine's model with faults.
 *
 * <p>Not thread-safe.
 */
final class SimulatedUpstream {
    private static final int MAX_EVENTS = 2_000;

    private final VirtualClock mClock;
    private final UpstreamSpec mSpec;
    private final EngineModel mEngine;
    private final Map<String, Listener> mListeners = new HashMap<>();
    private final long mLagMs;
    private UpstreamFault mFault = UpstreamFault.NONE;
    private long mFaultAtMs = Long.MAX_VALUE;
    private final List<Sent> mSent = new ArrayList<>();
    private double mScheduledMs = -1;
    private long mWork;

    /**
     * An attempt that was sent here during a fault.
     *
     * @param atMs when
     * @param vm the VM that sent it
     * @param probe whether that VM had ejected the upstream
     */
    record Sent(double atMs, int vm, boolean probe) {}

    /** Hears of one attempt's progress, at the upstream's own time. */
    interface Listener {
        /** Takes a token. */
        void onToken(int offset);

        /** Takes the end of the answer. */
        void onFinished();

        /** Takes the break of the connection. */
        void onBroken();
    }

    SimulatedUpstream(VirtualClock clock, UpstreamSpec spec, EngineTiming timing, EngineNews news) {
        mClock = clock;
        mSpec = spec;
        mEngine = new EngineModel(timing, news);
        mLagMs = news.loadLagMs();
    }

    UpstreamSpec spec() {
        return mSpec;
    }

    UpstreamFault fault() {
        return mFault;
    }

    /** Returns the attempts that were sent here since the last fault began. */
    List<Sent> sent() {
        return mSent;
    }

    /** Returns the prompt and answer tokens of all attempts accepted here. */
    long work() {
        return mWork;
    }

    EngineModel engine() {
        return mEngine;
    }

    /** Starts or ends a fault. */
    void setFault(UpstreamFault fault) {
        mFault = fault;
        mFaultAtMs = mClock.nowMs();
        mSent.clear();
        boolean stands = fault == UpstreamFault.FROZEN || fault == UpstreamFault.UNREACHABLE;
        mEngine.setFrozen(mClock.nowMs(), stands);
        if (fault == UpstreamFault.DEAD) {
            List<String> attempts = List.copyOf(mListeners.keySet());
            for (String attempt : attempts) {
                mEngine.cancel(mClock.nowMs(), attempt);
                mListeners.remove(attempt).onBroken();
            }
        }
        schedule();
    }

    /** Notes that an attempt is being sent here. */
    void sent(int vm, boolean probe) {
        if (mFault != UpstreamFault.NONE) {
            mSent.add(new Sent(mClock.exactMs(), vm, probe));
        }
    }

    /** Offers an attempt; returns whether it was accepted. */
    boolean offer(EngineJob job, Listener listener) {
        if (mEngine.offer(mClock.nowMs(), job) != EngineModel.Offer.ACCEPTED) {
            return false;
        }
        mWork += job.prompt().tokens() + job.answer().end();
        mListeners.put(job.attemptId(), listener);
        schedule();
        return true;
    }

    /** Cancels an attempt. */
    void cancel(String attempt) {
        if (mListeners.remove(attempt) != null) {
            mEngine.cancel(mClock.nowMs(), attempt);
        }
    }

    /** Returns the late load report; empty where none gets through. */
    Optional<LoadReport> report() {
        if (mFault == UpstreamFault.DEAD
                || mFault == UpstreamFault.UNREACHABLE
                || mFault == UpstreamFault.FROZEN) {
            return Optional.empty();
        }
        var report = mEngine.reportedLoad(mClock.nowMs());
        boolean leaving = mFault == UpstreamFault.LEAVING && mClock.nowMs() >= mFaultAtMs + mLagMs;
        return Optional.of(
                new LoadReport(
                        Math.max(report.atMs(), mClock.nowMs() - mLagMs),
                        1,
                        report.running(),
                        report.waiting(),
                        0,
                        leaving,
                        mSpec.model().map(Set::of).orElse(Set.of()),
                        Set.of()));
    }

    /** Returns the late cache events after a sequence number, in batches without gaps. */
    List<CacheEvents> cacheEvents(long afterSequence) {
        List<CacheEvents> batches = new ArrayList<>();
        List<CacheEvent> batch = new ArrayList<>();
        long first = 0;
        for (var event : mEngine.cacheEvents(mClock.nowMs(), afterSequence, MAX_EVENTS)) {
            if (event.sequence() != first + batch.size() && !batch.isEmpty()) {
                batches.add(new CacheEvents(mSpec.id(), 1, first, batch));
                batch.clear();
            }
            first = batch.isEmpty() ? event.sequence() : first;
            boolean stored = event.kind().name().equals("STORED");
            CacheEvent.Kind kind = stored ? CacheEvent.Kind.STORED : CacheEvent.Kind.REMOVED;
            batch.add(new CacheEvent(kind, event.blockHash()));
        }
        if (!batch.isEmpty()) {
            batches.add(new CacheEvents(mSpec.id(), 1, first, batch));
        }
        return batches;
    }

    private void schedule() {
        mEngine.nextStepAt()
                .ifPresent(
                        at -> {
                            if (mScheduledMs <= mClock.exactMs() || at < mScheduledMs) {
                                mScheduledMs = Math.max((double) at, mClock.exactMs() + 0.001);
                                mClock.at(mScheduledMs, this::step);
                            }
                        });
    }

    private void step() {
        if (mClock.exactMs() < mScheduledMs) {
            return;
        }
        for (EngineEvent event : mEngine.step(mClock.nowMs())) {
            Listener listener = mListeners.get(event.job().attemptId());
            if (listener == null) {
                continue;
            }
            if (event instanceof EngineEvent.Token token) {
                listener.onToken(token.offset());
            } else {
                mListeners.remove(event.job().attemptId());
                listener.onFinished();
            }
        }
        schedule();
    }
}
