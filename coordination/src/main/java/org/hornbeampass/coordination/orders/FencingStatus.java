package org.hornbeampass.coordination.orders;

/**
 * Whether an upstream is protected from a late order of a deposed writer, a VM that no longer holds
 * the lease on orders.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum FencingStatus {
    /**
     * The stored order does not have the present writer's fencing number yet, so an order of any
     * earlier writer may still arrive.
     */
    UNCLAIMED,
    /** The upstream has accepted the present writer's fencing number and refuses older ones. */
    FENCED,
    /**
     * The stored order has the present writer's fencing number, but the upstream does not check
     * fencing numbers.
     */
    UNFENCED;

    private static final int UNFENCED_NEEDED = 2;

    /**
     * Returns whether at least one ready copy is certain to remain after one late order to an
     * upstream that does not check fencing numbers.
     *
     * @param fenced ready copies at upstreams that check fencing numbers
     * @param unfenced ready copies at claimed upstreams that don't check them
     */
    static boolean survivesLateOrder(int fenced, int unfenced) {
        return fenced >= 1 || unfenced >= UNFENCED_NEEDED;
    }
}
