package org.hornbeampass.coordination.orders;

/**
 * How far an upstream is safe from a late order of a deposed writer.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum FencingStatus {
    /** Its order does not carry the present writer's fencing number yet, so any order may come. */
    UNCLAIMED,
    /** It has taken the present writer's number and refuses older ones. */
    FENCED,
    /** Its order carries the present writer's number, but it does not check numbers. */
    UNFENCED;

    private static final int UNFENCED_NEEDED = 2;

    /**
     * Returns whether one ready copy is left for certain after one late order to an upstream that
     * does not check numbers.
     *
     * @param fenced ready copies at upstreams that check numbers
     * @param unfenced ready copies at claimed upstreams that don't
     */
    static boolean survivesLateOrder(int fenced, int unfenced) {
        return fenced >= 1 || unfenced >= UNFENCED_NEEDED;
    }
}
