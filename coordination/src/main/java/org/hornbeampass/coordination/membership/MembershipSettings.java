package org.hornbeampass.coordination.membership;

/**
 * The intervals and bounds of membership.
 *
 * <p>Times are in milliseconds, sizes in bytes. Immutable; safe for use by any thread.
 *
 * @param probeIntervalMs how often one other VM is probed
 * @param probeTimeoutMs how long a probe's reply may take
 * @param relays how many other VMs are asked to probe a VM that did not answer
 * @param suspicionMs how long a suspected VM has to refute before it is taken to be gone
 * @param rings on how many rings of its own region a VM probes its successor
 * @param maxUpdateBytes the largest size of the updates on one message
 * @param maxSyncBytes the largest size of the entries in one reply to a synchronisation
 * @param syncIntervalMs the shortest time between two synchronisations
 * @param settleMs how long another VM's table may differ before it is synchronised
 * @param retryGoneMs how often a VM that is taken to be gone is probed again
 * @param retrySeedMs how often a seed that is not a member is asked again
 * @param gossipPerSecond how many messages a second may be sent to spread news at once
 * @param pauseMs a gap between two ticks that counts as a pause of this VM
 * @param silenceMs how long a VM that the platform does not list is silent before that proves it
 *     gone
 * @param forgetMs how long a VM that is gone is remembered
 */
public record MembershipSettings(
        long probeIntervalMs,
        long probeTimeoutMs,
        int relays,
        long suspicionMs,
        int rings,
        int maxUpdateBytes,
        int maxSyncBytes,
        long syncIntervalMs,
        long settleMs,
        long retryGoneMs,
        long retrySeedMs,
        int gossipPerSecond,
        long pauseMs,
        long silenceMs,
        long forgetMs) {
    /** Returns the settings for a fleet of 8 to 390 VMs. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                1_000,
                500,
                3,
                3_000,
                3,
                400,
                3_000,
                1_000,
                5_000,
                10_000,
                10_000,
                2,
                2_500,
                900_000,
                86_400_000);
    }
}
