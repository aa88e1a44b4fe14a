package org.hornbeampass.coordination.escrow;

import java.util.List;

/**
 * Determines which VMs are homes of the pools of prepaid tokens, as seen by one VM.
 *
 * <p>Only the homes exchange with the store; the other VMs borrow from them. If two VMs disagree
 * about the homes, this costs calls or a search but never tokens, since tokens are spent only where
 * they were granted or lent. Not thread-safe; must be used on one thread.
 */
public interface PoolHomes {
    /**
     * Returns whether this VM is a home of a pool.
     *
     * @param pool the number of the store record that contains the pool's budgets
     */
    boolean isHome(int pool);

    /** Returns the number of homes of a pool; at least 1. */
    int homeCount(int pool);

    /** Returns the other homes of a pool, in the order in which to ask them. */
    List<String> otherHomes(int pool);

    /** Returns the names of all other VMs that are up. */
    List<String> otherVms();
}
