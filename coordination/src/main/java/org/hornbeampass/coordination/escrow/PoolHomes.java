package org.hornbeampass.coordination.escrow;

import java.util.List;

/**
 * Tells which VMs hold the pools of prepaid tokens, as one VM believes it.
 *
 * <p>Only they exchange with the store; the others borrow from them. Two VMs that believe
 * differently cost calls or a search and never a token, since tokens are spent only where they were
 * granted or lent. Confined to one thread.
 */
public interface PoolHomes {
    /**
     * Returns whether this VM holds a part of a pool.
     *
     * @param pool the number of the record in which the pool's budgets lie
     */
    boolean isHome(int pool);

    /** Returns how many VMs hold a part of a pool; at least 1. */
    int homeCount(int pool);

    /** Returns the other VMs that hold a part of a pool, in the order in which to ask them. */
    List<String> otherHomes(int pool);

    /** Returns all other VMs that are up. */
    List<String> otherVms();
}
