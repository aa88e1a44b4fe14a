package org.hornbeampass.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The engine's cache events as others see them: late, with gaps, and only the latest.
 *
 * <p>Invariant: which events are missing depends on the seed and the order of events only. Not
 * thread-safe.
 */
final class CacheEventLog {
    private final EngineNews mNews;
    private final SplittableRandom mRandom;
    private final Deque<CacheEvent> mEvents = new ArrayDeque<>();
    private long mSequence;

    CacheEventLog(EngineNews news) {
        mNews = news;
        mRandom = new SplittableRandom(news.seed());
    }

    void add(long nowMs, CacheEvent.Kind kind, long blockHash) {
        mSequence++;
        if (mRandom.nextDouble() < mNews.cacheLoss()) {
            return;
        }
        mEvents.addLast(new CacheEvent(mSequence, nowMs, kind, blockHash));
        if (mEvents.size() > mNews.cacheRetained()) {
            mEvents.removeFirst();
        }
    }

    /** Returns the events after a sequence number that are old enough to be seen. */
    List<CacheEvent> after(long nowMs, long sequence, int limit) {
        List<CacheEvent> seen = new ArrayList<>();
        for (CacheEvent event : mEvents) {
            if (event.atMs() > nowMs - mNews.cacheLagMs() || seen.size() == limit) {
                break;
            }
            if (event.sequence() > sequence) {
                seen.add(event);
            }
        }
        return seen;
    }
}
