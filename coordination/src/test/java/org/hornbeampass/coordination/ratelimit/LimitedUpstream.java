package org.hornbeampass.coordination.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;

/**
 * An upstream that names a rate limit, and what it gets, judged by the terms of the limit: from
 * some time after it first named one, the VMs that have been told for half a second send it in any
 * four seconds at most one and a half times as much, and five requests. Not thread-safe.
 */
final class LimitedUpstream {
    static final long WINDOW_MS = 4_000;

    private static final double SHARE = 1.5;
    private static final int EXTRA = 5;
    private static final long TOLD_MS = 500;
    private static final long CONTACT_MS = 3_000;

    /**
     * A request that reached it.
     *
     * @param atMs when, in milliseconds
     * @param counts whether its VM had been told for long enough
     */
    private record Arrival(long atMs, boolean counts) {}

    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Map<String, Long> mToldMs = new HashMap<>();
    private OptionalDouble mLimit = OptionalDouble.empty();
    private long mNamedMs = Long.MAX_VALUE;
    private double mHighest;

    /** Names a limit from now on. */
    void name(long nowMs, double perSecond) {
        mLimit = OptionalDouble.of(perSecond);
        mHighest = Math.max(mHighest, perSecond);
        mNamedMs = Math.min(mNamedMs, nowMs);
    }

    /** Names none any more. */
    void drop() {
        mLimit = OptionalDouble.empty();
        mNamedMs = Long.MAX_VALUE;
        mHighest = 0;
        mToldMs.clear();
    }

    OptionalDouble limit() {
        return mLimit;
    }

    long workMs(Random random) {
        return 20 + random.nextLong(200);
    }

    void onTold(long nowMs, String vm) {
        mToldMs.putIfAbsent(vm, nowMs);
    }

    /** Notes that a VM has ended or was cut off, which excuses it until it is told anew. */
    void onExcused(String vm) {
        mToldMs.remove(vm);
    }

    void onArrival(long nowMs, String vm) {
        Long toldMs = mToldMs.get(vm);
        mArrivals.add(new Arrival(nowMs, toldMs != null && nowMs >= toldMs + TOLD_MS));
    }

    /** Returns how many requests came from a time on. */
    long arrivedSince(long fromMs) {
        return mArrivals.stream().filter(a -> a.atMs() >= fromMs).count();
    }

    /** Returns the largest count of requests of all VMs in a window that begins after a time. */
    long largestWindow(long fromMs) {
        return largest(mArrivals.stream().filter(a -> a.atMs() >= fromMs).toList());
    }

    /** Returns the largest count of a window that is judged. */
    long largestJudged() {
        List<Arrival> counted = mArrivals.stream().filter(Arrival::counts).toList();
        long judgedFromMs = mNamedMs + CONTACT_MS;
        return largest(counted.stream().filter(a -> a.atMs() >= judgedFromMs - WINDOW_MS).toList());
    }

    private static long largest(List<Arrival> arrivals) {
        int from = 0;
        int largest = 0;
        for (int i = 0; i < arrivals.size(); i++) {
            while (arrivals.get(from).atMs() <= arrivals.get(i).atMs() - WINDOW_MS) {
                from++;
            }
            largest = Math.max(largest, i - from + 1);
        }
        return largest;
    }

    /** Returns the most that a window may hold. */
    double allowed() {
        return SHARE * mHighest * WINDOW_MS / 1_000 + EXTRA;
    }
}
