package org.hornbeampass.coordination.budget;

/**
 * Input on which a {@link GrantPolicy} decides, in tokens and milliseconds.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param paid the budget's paid tokens
 * @param available the tokens that the platform can still grant
 * @param drawn the tokens that this VM drew and did not return
 * @param free the tokens that this VM holds and that are neither spent nor reserved
 * @param waiting the tokens that requests on this VM and on peers wait for
 * @param largestReservation the largest reservation requested recently
 * @param demandPerMs the rate at which tokens are requested, in tokens per millisecond
 * @param drawingVms the number of VMs that draw on the budget, at least 1
 * @param horizonMs the time in milliseconds for which a grant should last
 * @param maxGrantedShare the largest share of the available tokens that may be held by VMs
 * @param chunkTokens the tokens that {@link GrantPolicy#FIXED_CHUNK} draws at a time
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
