package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Callers, some of whose requests crash the upstreams that run them, and the verdicts on all of
 * them, in virtual time.
 *
 * <p>An upstream runs many requests at once; a crash interrupts them all, and they are sent again,
 * up to a bound. A crashed upstream is back after a time. Not thread-safe.
 */
final class CrashingRequestModel {
    private static final int UPSTREAMS = 6;
    private static final long STEP_MS = 10;
    private static final long RUN_MS = 1_000;
    private static final long CRASH_AFTER_MS = 80;
    private static final long BACK_AFTER_MS = 3_000;
    private static final long CRASHING_EVERY_MS = 400;
    private static final int REQUESTS_PER_S = 60;
    private static final int SENDS = 4;

    /** How long news of a crash take to all VMs, in milliseconds. */
    private static final long NEWS_MS = 200;

    /** One request at an upstream. */
    private record Run(RequestDigest digest, boolean crashing, int sends, long endsMs) {}

    /** A crash that is not known yet. */
    private record News(long atMs, UpstreamIncarnation crash, List<RequestDigest> requests) {}

    private final SuspectTable mTable = new SuspectTable(new QuarantineFleet.SilentListener());
    private final List<List<Run>> mRunning = new ArrayList<>();
    private final long[] mBackMs = new long[UPSTREAMS];
    private final long[] mLives = new long[UPSTREAMS];
    private final List<News> mNews = new ArrayList<>();
    private final Random mRandom;
    private final int mCrashingRequests;
    private int mInnocents;
    private int mInnocentsRefused;
    private int mCrashes;
    private long mLastCrashMs;
    private long mNextId;

    CrashingRequestModel(long seed, int crashingRequests) {
        mRandom = new Random(seed);
        mCrashingRequests = crashingRequests;
        for (int i = 0; i < UPSTREAMS; i++) {
            mRunning.add(new ArrayList<>());
        }
    }

    /** Plays for a time in milliseconds. */
    void play(long ms) {
        for (long nowMs = 0; nowMs < ms; nowMs += STEP_MS) {
            long atMs = nowMs;
            mNews.stream()
                    .filter(n -> n.atMs() <= atMs)
                    .forEach(n -> mTable.onCrash(atMs, n.crash(), n.requests()));
            mNews.removeIf(n -> n.atMs() <= atMs);
            arrive(nowMs);
            for (int i = 0; i < UPSTREAMS; i++) {
                end(nowMs, i);
            }
        }
    }

    private void arrive(long nowMs) {
        if (mRandom.nextInt(1_000) < REQUESTS_PER_S * STEP_MS) {
            mInnocents++;
            send(nowMs, new RequestDigest(2, mNextId++), false, 0);
        }
        if (nowMs % CRASHING_EVERY_MS == 0) {
            for (int i = 0; i < mCrashingRequests; i++) {
                send(nowMs, new RequestDigest(1, i), true, 0);
            }
        }
    }

    private void send(long nowMs, RequestDigest digest, boolean crashing, int sends) {
        if (!mTable.standing(digest).mayBeSent()) {
            mInnocentsRefused += crashing ? 0 : 1;
            return;
        }
        List<Integer> up = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            if (mBackMs[i] <= nowMs) {
                up.add(i);
            }
        }
        if (up.isEmpty() || sends >= SENDS) {
            return;
        }
        long lastsMs = crashing ? CRASH_AFTER_MS : 1 + mRandom.nextInt((int) RUN_MS);
        mRunning.get(up.get(mRandom.nextInt(up.size())))
                .add(new Run(digest, crashing, sends + 1, nowMs + lastsMs));
    }

    private void end(long nowMs, int upstream) {
        List<Run> running = mRunning.get(upstream);
        boolean crashes = running.stream().anyMatch(r -> r.crashing() && r.endsMs() <= nowMs);
        if (crashes) {
            crash(nowMs, upstream);
            return;
        }
        running.stream()
                .filter(r -> r.endsMs() <= nowMs)
                .forEach(r -> mTable.clear(nowMs, r.digest()));
        running.removeIf(r -> r.endsMs() <= nowMs);
    }

    private void crash(long nowMs, int upstream) {
        List<Run> lost = mRunning.set(upstream, new ArrayList<>());
        mCrashes++;
        mLastCrashMs = nowMs;
        mBackMs[upstream] = nowMs + BACK_AFTER_MS;
        mNews.add(
                new News(
                        nowMs + NEWS_MS,
                        new UpstreamIncarnation("i-" + upstream, mLives[upstream]++),
                        lost.stream().map(Run::digest).toList()));
        lost.stream()
                .filter(r -> !r.crashing())
                .forEach(r -> send(nowMs, r.digest(), false, r.sends()));
    }

    int crashes() {
        return mCrashes;
    }

    long lastCrashMs() {
        return mLastCrashMs;
    }

    double innocentsRefusedShare() {
        return (double) mInnocentsRefused / mInnocents;
    }
}
