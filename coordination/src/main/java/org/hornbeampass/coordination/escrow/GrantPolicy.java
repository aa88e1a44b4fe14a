package org.hornbeampass.coordination.escrow;

/**
 * How many unspent tokens a VM keeps of an organisation's budget.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum GrantPolicy {
    /** An equal part of the whole budget for each VM, taken at once. */
    EQUAL_SHARE {
        @Override
        long target(Inputs in) {
            return in.left() / in.vms();
        }
    },
    /**
     * The demand of the longest cut from the store, but not more than a fair part of what is left.
     * Weighed against an equal share, a death or a kill of all VMs writes off the horizon only.
     */
    DEMAND_HORIZON {
        @Override
        long target(Inputs in) {
            double demand = in.demandPerMs() * HORIZON_MS * DEMAND_MARGIN;
            double floor = Math.max(in.largest() * 1.5, in.left() / (FLOOR_PARTS * in.vms()));
            double fair = (double) in.left() / in.vms();
            return (long) Math.min(Math.max(demand, floor), fair);
        }
    };

    /** The longest cut from the store that must not refuse, in milliseconds. */
    private static final double HORIZON_MS = 13_000;

    /** Demand in a cut over that observed before it: bursts and uneven callers. */
    private static final double DEMAND_MARGIN = 1.25;

    /** The part of a fair share that is kept without any demand, so that a first burst fits. */
    private static final double FLOOR_PARTS = 5.0;

    /**
     * What decides.
     *
     * @param left tokens of the whole budget that nobody has spent, as far as known
     * @param vms how many VMs share them
     * @param demandPerMs tokens asked for at this VM in a millisecond
     * @param largest the most tokens that one request asked for
     */
    record Inputs(long left, int vms, double demandPerMs, long largest) {}

    /** Returns how many unspent tokens a VM should hold. */
    abstract long target(Inputs in);
}
