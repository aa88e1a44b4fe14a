package org.hornbeampass.coordination.admission;

import org.hornbeampass.coordination.limit.ServiceRate;
import org.hornbeampass.coordination.limit.WaitingRequests;

import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Estimates how long a request waits for a place, from how long places are held and how often more
 * urgent requests take them.
 *
 * <p>The rate follows from places and holding times, and not from past completions alone: those of
 * a calm time say nothing about how much can be served. Confined to one thread.
 */
final class WaitEstimate {
    /** The weight of a new sample in the smoothed holding time. */
    private static final double SMOOTHING = 0.05;

    /** Requests per estimate, since the estimates of {@link ServiceRate} are whole milliseconds. */
    private static final int RATE_REQUESTS = 100;

    /**
     * How many fair selections a request expects until one takes it: they go by organisation, and
     * some take a more urgent request.
     */
    private static final double FAIR_TURN_FACTOR = 3;

    /**
     * The factor for what the estimate can't know, such as more urgent requests that are yet to
     * come. Without these two factors 4 % of the requests in the model were refused after a wait,
     * with them about 1 %.
     */
    private static final double MARGIN = 2;

    private final TreeMap<Integer, ServiceRate> mEntriesAbove = new TreeMap<>();
    private double mHoldMs;

    /** Records that a request of a priority got a place. */
    void onEntered(long nowMs, int priority) {
        mEntriesAbove.headMap(priority, false).values().forEach(r -> r.onCompleted(nowMs));
    }

    /** Records for how long a place was held, in milliseconds. */
    void onReleased(long heldMs) {
        mHoldMs += mHoldMs == 0 ? heldMs : SMOOTHING * (heldMs - mHoldMs);
    }

    /**
     * Returns the expected wait of a request in milliseconds; empty as long as nothing was served.
     *
     * @param nowMs the present time in milliseconds
     * @param priority the priority of the request; 9 is the most urgent
     * @param places how many requests may be in progress
     * @param waiting the requests that wait
     */
    OptionalLong waitMs(long nowMs, int priority, int places, WaitingRequests waiting) {
        if (mHoldMs <= 0) {
            return OptionalLong.empty();
        }
        double perMs = Math.max(1, places) / mHoldMs;
        double leftPerMs = perMs - perMsAbove(nowMs, priority);
        double inOrderMs =
                leftPerMs <= 0
                        ? Double.MAX_VALUE
                        : (waiting.countAtOrAbove(priority) + 1) / leftPerMs;
        int others = waiting.size() - waiting.countAtOrAbove(priority + 1);
        double byFairTurnMs =
                FAIR_TURN_FACTOR * WaitingRequests.FAIR_TURN_INTERVAL * (others + 1) / perMs;
        return OptionalLong.of((long) Math.ceil(MARGIN * Math.min(inOrderMs, byFairTurnMs)));
    }

    private double perMsAbove(long nowMs, int priority) {
        OptionalLong ms =
                mEntriesAbove
                        .computeIfAbsent(priority, p -> new ServiceRate())
                        .estimateWaitMs(nowMs, RATE_REQUESTS);
        return ms.isPresent() ? (double) RATE_REQUESTS / Math.max(1, ms.getAsLong()) : 0;
    }
}
