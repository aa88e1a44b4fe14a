package org.hornbeampass.coordination.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;

/**
 * An upstream that announces a rate limit and checks the requests that it receives. Starting some
 * time after the first announcement, the VMs that received the limit at least half a second ago may
 * send, in any four seconds, at most one and a half times the limit plus five requests. Not
 * thread-safe.
 */
final class LimitedUpstream {
    static final long WINDOW_MS = 4_000;
    private static final long SECOND_MS = 1_000;

    private static final double ALLOWED_RATIO = 1.5;
    private static final int ALLOWED_EXTRA = 5;
    private static final long REACTION_MS = 500;
    private static final long PROPAGATION_MS = 3_000;

    /**
     * A request that reached the upstream.
     *
     * @param atMs when the request arrived, in milliseconds
     * @param informed whether its VM had received the limit long enough before
     */
    private record Arrival(long atMs, boolean informed) {}

    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Map<String, Long> mAnnouncedToVmMs = new HashMap<>();
    private OptionalDouble mLimit = OptionalDouble.empty();
    private long mAnnouncedMs = Long.MAX_VALUE;
    private double mHighestLimit;

    /** Announces a limit from now on. */
    void announceLimit(long nowMs, double perSecond) {
        mLimit = OptionalDouble.of(perSecond);
        mHighestLimit = Math.max(mHighestLimit, perSecond);
        mAnnouncedMs = Math.min(mAnnouncedMs, nowMs);
    }

    /** Announces no limit any more. */
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

    /**
     * Records that a VM ended or was partitioned; it does not count as informed until it receives
     * the limit again.
     */
    void onVmInterrupted(String vm) {
        mAnnouncedToVmMs.remove(vm);
    }

    void onArrival(long nowMs, String vm) {
        Long informedAtMs = mAnnouncedToVmMs.get(vm);
        mArrivals.add(
                new Arrival(nowMs, informedAtMs != null && nowMs >= informedAtMs + REACTION_MS));
    }

    /** Returns the number of requests that arrived from a time on. */
    long arrivalsSince(long fromMs) {
        return mArrivals.stream().filter(a -> a.atMs() >= fromMs).count();
    }

    /**
     * Returns the largest number of requests of all VMs in a window that begins at a time or later.
     */
    long largestWindowOfAllVms(long fromMs) {
        return largestWindow(mArrivals.stream().filter(a -> a.atMs() >= fromMs).toList());
    }

    /** Returns the largest number of requests of informed VMs in a window that is checked. */
    long largestWindowOfInformedVms() {
        List<Arrival> counted = mArrivals.stream().filter(Arrival::informed).toList();
        long checkedFromMs = mAnnouncedMs + PROPAGATION_MS;
        return largestWindow(
                counted.stream().filter(a -> a.atMs() >= checkedFromMs - WINDOW_MS).toList());
    }

    /** Returns the largest number of requests of all VMs in a second. */
    long largestSecond() {
        return largestWindow(mArrivals, SECOND_MS);
    }

    private static long largestWindow(List<Arrival> arrivals) {
        return largestWindow(arrivals, WINDOW_MS);
    }

    private static long largestWindow(List<Arrival> arrivals, long windowMs) {
        int from = 0;
        int largest = 0;
        for (int i = 0; i < arrivals.size(); i++) {
            while (arrivals.get(from).atMs() <= arrivals.get(i).atMs() - windowMs) {
                from++;
            }
            largest = Math.max(largest, i - from + 1);
        }
        return largest;
    }

    /** Returns the largest number of requests allowed in a window. */
    double allowed() {
        return ALLOWED_RATIO * mHighestLimit * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
    }
}
