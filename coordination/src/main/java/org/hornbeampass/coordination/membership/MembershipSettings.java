package org.hornbeampass.coordination.membership;

/**
 * Intervals and limits of {@link Membership}.
 *
 * <p>Times are in milliseconds, sizes in bytes. Immutable; safe for use by any thread.
 *
 * @param probeIntervalMs the interval between probes, each of one other VM
 * @param probeTimeoutMs the timeout of a probe
 * @param relays how many other VMs are asked to probe a VM that did not reply
 * @param suspicionMs how long a suspected VM has to refute before it is considered gone
 * @param rings on how many hash rings of its own region a VM probes its successor
 * @param maxUpdateBytes the largest size of the updates in one message
 * @param maxSyncBytes the largest size of the entries in one reply to a synchronisation
 * @param syncIntervalMs the shortest time between two synchronisations
 * @param settleMs how long another VM's table may differ before the two are synchronised
 * @param retryGoneMs the interval between probes of VMs that are considered gone
 * @param retrySeedMs the interval between synchronisations with seeds that are not members
 * @param gossipPerSecond the largest rate of gossip messages, in addition to probes
 * @param pauseMs the gap between two ticks from which on this VM counts as paused
 * @param silenceMs how long a VM that the platform does not list must be silent before it is proved
 *     gone
 * @param forgetMs how long a VM that is gone stays in the table
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
