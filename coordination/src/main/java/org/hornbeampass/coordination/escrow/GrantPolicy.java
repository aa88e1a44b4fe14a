package org.hornbeampass.coordination.escrow;

/**
 * How many unspent tokens a VM keeps of an organisation's budget.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum GrantPolicy {
    /**
     * An equal part of the whole budget for each VM, taken at once: the baseline of comparisons. A
     * kill of all VMs after 34 s of a day of 50 s took 47 % of all tokens, where the other policy
     * lost 12 % (EscrowDay, eight seeds).
     */
    EQUAL_SHARE {
        @Override
        long target(Inputs in) {
            return in.left() / in.vms();
        }
    },
    /**
     * The demand of the longest cut from the store, but not more than a fair part of a quarter of
     * what is left: the rest stays in the store, where a kill of all VMs does not write it off, and
     * where a VM finds it that needs more than the others.
     */
    DEMAND_HORIZON {
        @Override
        long target(Inputs in) {
            double demand = in.demandPerMs() * HORIZON_MS * DEMAND_MARGIN;
            double floor = in.left() / (FLOOR_PARTS * in.vms());
            double fair = HELD_PART * in.left() * in.share();
            long held = (long) Math.min(Math.max(demand, floor), fair);
            return in.wanted() + held;
        }
    };

    /** The longest cut from the store that must not refuse, in milliseconds. */
    private static final double HORIZON_MS = 12_000;

    /**
     * Demand in a cut over that observed before it: bursts, and requests of uneven size. With 1.0 a
     * cut of 12 s lost 1.0 % of the requests of a day, with 1.25 it lost 0.6 % (EscrowDay).
     */
    private static final double DEMAND_MARGIN = 1.25;

    /**
     * The part of what is left that all VMs together may hold, beside what requests wait for. An
     * organisation of which little is left loses nothing by a refusal in a cut, as its tokens serve
     * later requests; what a kill writes off is lost to it. With a half, a second kill of all VMs
     * lost 13.9 % of a day's requests, with a quarter 5.9 %; cuts of 8 and 7 s lost 0.1 % either
     * way (EscrowDay, eight seeds).
     */
    private static final double HELD_PART = 0.25;

    /**
     * The part of a fair share that is kept without any demand, so that a first burst fits. A
     * fifth, and one and a half of the largest request, held 30 % of all budgets where the demand
     * of the longest cut was 23 %; larger requests get their tokens when they come.
     */
    private static final double FLOOR_PARTS = 15.0;

    /**
     * What decides.
     *
     * @param left tokens of the whole budget that nobody has spent, as far as known
     * @param vms how many VMs share them
     * @param share the part of what all VMs used that was used at this one
     * @param demandPerMs tokens used at this VM in a millisecond
     * @param wanted the tokens of all requests that wait for them; 0 where none does
     */
    record Inputs(long left, int vms, double share, double demandPerMs, long wanted) {}

    /** Returns how many unspent tokens a VM should hold. */
    abstract long target(Inputs in);
}
