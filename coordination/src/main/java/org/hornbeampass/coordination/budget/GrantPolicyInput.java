package org.hornbeampass.coordination.budget;

/**
 * What a {@link GrantPolicy} decides on, all of it in tokens and milliseconds.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param paid the budget's paid tokens
 * @param available what the platform may still grant
 * @param drawn what this VM drew and did not return
 * @param free what this VM holds and has not reserved
 * @param waiting what requests wait for
 * @param largestReservation the largest reservation seen lately
 * @param demandPerMs the rate at which reservations are asked for
 * @param drawingVms the number of VMs that draw on the budget, at least 1
 * @param horizonMs the time for which a grant should last
 * @param maxGrantedShare the largest share of what is left that may lie on VMs
 * @param chunkTokens the settings' fixed grant
 */
public record GrantPolicyInput(
        long paid,
        long available,
        long drawn,
        long free,
        long waiting,
        long largestReservation,
        double demandPerMs,
        int drawingVms,
        long horizonMs,
        double maxGrantedShare,
        long chunkTokens) {
    /** Returns the tokens that last for the horizon at the present demand. */
    long horizonTokens() {
        return (long) (demandPerMs * horizonMs);
    }
}
