package org.hornbeampass.coordination.admission;

/**
 * How long and how many requests may wait for the capacity of a service at one VM.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param maxWaitShare the share of a route's objective for which its requests may wait, 0 to 1
 * @param maxWaiting how many requests may wait for one service; 0 if the operator's order only
 *     determines the urgency at engines and no request waits
 */
public record AdmissionSettings(double maxWaitShare, int maxWaiting) {
    /** Returns whether requests are limited to the room of a service and wait for it. */
    public boolean limitsRoom() {
        return maxWaiting > 0;
    }
}
