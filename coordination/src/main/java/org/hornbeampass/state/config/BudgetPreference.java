package org.hornbeampass.state.config;

/**
 * Whether an organisation prefers fewer false refusals or fewer stranded tokens. Neither choice
 * allows overspending.
 *
 * <p>The preference determines how many tokens of a budget VMs may hold ahead of demand: more
 * tokens reduce false refusals during a partition, fewer tokens reduce the amount written off when
 * a VM fails. Immutable; safe for use by any thread.
 */
public enum BudgetPreference {
    /** Fewer false refusals: VMs hold enough tokens for a long partition. */
    AVOID_FALSE_REFUSAL(600_000, 0.9),
    /** Fewer stranded and written-off tokens: VMs hold few tokens ahead of demand. */
    AVOID_STRANDING(60_000, 0.5);

    private final long mDemandHorizonMs;
    private final double mGrantableShare;

    BudgetPreference(long demandHorizonMs, double grantableShare) {
        mDemandHorizonMs = demandHorizonMs;
        mGrantableShare = grantableShare;
    }

    /** Returns how long a VM's grants should last at its current demand, in milliseconds. */
    public long demandHorizonMs() {
        return mDemandHorizonMs;
    }

    /**
     * Returns the maximum share, from 0 to 1, of the rest of a budget that VMs may hold unspent.
     */
    public double grantableShare() {
        return mGrantableShare;
    }
}
