package org.hornbeampass.state.config;

/**
 * What an organisation weighs more heavily; overspend is zero under both.
 *
 * <p>The value sets how much of a budget may lie on VMs ahead of demand: more lowers false refusals
 * in a partition, less lowers what is written off when a VM dies. Immutable; safe for use by any
 * thread.
 */
public enum BudgetPreference {
    /** False refusals weigh more: VMs hold enough for a long partition. */
    AVOID_FALSE_REFUSAL(600_000, 0.9),
    /** Stranded and written-off tokens weigh more: VMs hold little ahead of demand. */
    AVOID_STRANDING(60_000, 0.5);

    private final long mDemandHorizonMs;
    private final double mGrantableShare;

    BudgetPreference(long demandHorizonMs, double grantableShare) {
        mDemandHorizonMs = demandHorizonMs;
        mGrantableShare = grantableShare;
    }

    /** Returns the time for which a VM's grants should last at its present demand. */
    public long demandHorizonMs() {
        return mDemandHorizonMs;
    }

    /** Returns the largest share of what is left of a budget that may lie on VMs unspent. */
    public double grantableShare() {
        return mGrantableShare;
    }
}
