package org.hornbeampass.coordination.capacity;

/**
 * Decides when a VM refuses new connections of callers, so that it answers in time what it takes in
 * although its callers ask for more than it can do.
 *
 * <p>A connection that is refused costs the VM neither processor time nor bytes, and its caller
 * knows at once that it has to go elsewhere. A request that is read costs both, even if it is
 * refused, and its caller sends it to the same VM again. What a request still needs decides: some
 * {@value #TURNS} turns of the event loop, each of which takes the longer the more requests are in
 * progress.
 *
 * <p>Invariants: a pause begins only while there are {@link #MIN_OTHER_VMS} other VMs; it lasts
 * {@link #MAX_PAUSE_MS} at most, and after one that long the VM takes connections for {@link
 * #MIN_INTAKE_MS} at least. All times are in milliseconds. Confined to one event loop.
 */
public final class IntakePause {
    /**
     * The turns of the event loop for which a request waits: accepted, read, connected to its
     * upstream and sent, the first part of its answer, and the end.
     */
    static final int TURNS = 5;

    /** The time for all turns of a request from which new connections are refused. */
    static final double BEGIN_MS = 300;

    /** The time for all turns of a request below which connections are taken again. */
    static final double END_MS = 150;

    /** The shortest pause; each one closes the listening socket and opens it again. */
    static final double MIN_PAUSE_MS = 20;

    /** The longest pause. */
    static final double MAX_PAUSE_MS = 500;

    /** The shortest time between a pause that did not shorten the turns and the next one. */
    static final double MIN_INTAKE_MS = 100;

    /** The fewest other live VMs. */
    static final int MIN_OTHER_VMS = 2;

    private final TurnTime mTurnTime = new TurnTime();
    private boolean mHasOthers;
    private boolean mPaused;
    private double mBegunMs;
    private double mIntakeUntilMs = Double.NEGATIVE_INFINITY;

    /** Sets the number of other live VMs. */
    public void setOtherVms(int vms) {
        mHasOthers = vms >= MIN_OTHER_VMS;
    }

    /**
     * Decides again after a turn of the event loop.
     *
     * @param nowMs the time at the end of the turn
     * @param workedMs how long the turn took, without the time in which the loop waited
     * @return whether the VM refuses new connections
     */
    public boolean onTurn(double nowMs, double workedMs) {
        mTurnTime.onTurn(nowMs, workedMs);
        if (mPaused) {
            mPaused = continues(nowMs);
        } else if (mHasOthers && requestMs() >= BEGIN_MS && nowMs >= mIntakeUntilMs) {
            mPaused = true;
            mBegunMs = nowMs;
        }
        return mPaused;
    }

    private boolean continues(double nowMs) {
        double pausedMs = nowMs - mBegunMs;
        if (pausedMs < MIN_PAUSE_MS) {
            return true;
        }
        if (pausedMs >= MAX_PAUSE_MS) {
            mIntakeUntilMs = nowMs + MIN_INTAKE_MS;
            return false;
        }
        return requestMs() >= END_MS;
    }

    /** Returns how long a request waits for its turns of the event loop, as of the last turns. */
    public double requestMs() {
        return TURNS * mTurnTime.meanMs();
    }
}
