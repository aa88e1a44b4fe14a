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

    private static final double ALLOWED_RATIO = 1.5;
    private static final int ALLOWED_EXTRA = 5;
    private static final long REACTION_MS = 500;
    private static final long PROPAGATION_MS = 3_000;

    /**
     * A request that reached it.
     *
     * @param atMs when, in milliseconds
     * @param informed whether its VM had been told for long enough
     */
    private record Arrival(long atMs, boolean informed) {}

    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Map<String, Long> mAnnouncedToVmMs = new HashMap<>();
    private OptionalDouble mLimit = OptionalDouble.empty();
    private long mAnnouncedMs = Long.MAX_VALUE;
    private double mHighestLimit;

    /** Names a limit from now on. */
    void announceLimit(long nowMs, double perSecond) {
        mLimit = OptionalDouble.of(perSecond);
        mHighestLimit = Math.max(mHighestLimit, perSecond);
        mAnnouncedMs = Math.min(mAnnouncedMs, nowMs);
    }

    /** Names none any more. */
    void withdrawLimit() {
        mLimit = OptionalDouble.empty();
        mAnnouncedMs = Long.MAX_VALUE;
        mHighestLimit = 0;
        mAnnouncedToVmMs.clear();
    }

    OptionalDouble limit() {
        return mLimit;
    }

    long workMs(Random random) {
        return 20 + random.nextLong(200);
    }

    void onLimitReceived(long nowMs, String vm) {
        mAnnouncedToVmMs.putIfAbsent(vm, nowMs);
    }

    /** Notes that a VM has ended or was cut off, which excuses it until it is told anew. */
    void onVmInterrupted(String vm) {
        mAnnouncedToVmMs.remove(vm);
    }

    void onArrival(long nowMs, String vm) {
        Long toldMs = mAnnouncedToVmMs.get(vm);
        mArrivals.add(new Arrival(nowMs, toldMs != null && nowMs >= toldMs + REACTION_MS));
    }

    /** Returns how many requests came from a time on. */
    long arrivalsSince(long fromMs) {
        return mArrivals.stream().filter(a -> a.atMs() >= fromMs).count();
    }

    /** Returns the largest count of requests of all VMs in a window that begins after a time. */
    long largestWindowOfAllVms(long fromMs) {
        return largestWindow(mArrivals.stream().filter(a -> a.atMs() >= fromMs).toList());
    }

    /** Returns the largest count of a window that is judged. */
    long largestWindowOfInformedVms() {
        List<Arrival> counted = mArrivals.stream().filter(Arrival::informed).toList();
        long judgedFromMs = mAnnouncedMs + PROPAGATION_MS;
        return largestWindow(
                counted.stream().filter(a -> a.atMs() >= judgedFromMs - WINDOW_MS).toList());
    }

    private static long largestWindow(List<Arrival> arrivals) {
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
        return ALLOWED_RATIO * mHighestLimit * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
    }
}
