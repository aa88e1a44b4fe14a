package org.hornbeampass.coordination.capacity;

/**
 * The recent time that an event loop takes for a turn, in which it does one step of each request
 * that is ready.
 *
 * <p>A request needs several turns, so that it takes a multiple of this time however little work it
 * is by itself. Invariant: the time falls while the loop waits, and a single long turn, as after a
 * stall, counts as {@link #MAX_TURN_MS} at most. Confined to one event loop.
 */
final class TurnTime {
    /** The time after which a turn counts a third. */
    private static final double TIME_CONSTANT_MS = 20;

    /** The longest turn that counts in full. */
    static final double MAX_TURN_MS = 200;

    private double mMeanMs;
    private double mUpdatedMs = Double.NaN;

    /**
     * Records a turn.
     *
     * @param nowMs the time at its end
     * @param workedMs how long it took, without the time in which the loop waited before it
     */
    void onTurn(double nowMs, double workedMs) {
        double sinceMs = Double.isNaN(mUpdatedMs) ? workedMs : nowMs - mUpdatedMs;
        double weight = 1 - Math.exp(-Math.max(0, sinceMs) / TIME_CONSTANT_MS);
        mMeanMs += weight * (Math.min(workedMs, MAX_TURN_MS) - mMeanMs);
        mUpdatedMs = nowMs;
    }

    /** Returns the recent time of a turn in milliseconds. */
    double meanMs() {
        return mMeanMs;
    }
}
