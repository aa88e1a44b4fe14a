package org.hornbeampass.coordination.escrow;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

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
     * @param nowMs the present time in milliseconds
     * @param pool the number of the record in which the pool's budgets lie
     */
    boolean isHome(long nowMs, int pool);

    /** Returns how many VMs hold a part of a pool; at least 1. */
    int count(int pool);

    /** Returns the other VMs that hold a part of a pool, in the order in which to ask them. */
    List<String> others(int pool);

    /** Returns all other VMs that are up. */
    List<String> vms();

    /**
     * Makes every VM a home of every pool: for fleets of a few VMs, and for comparisons.
     *
     * @param count how many VMs there are
     * @param vms the other VMs
     */
    static PoolHomes everyVm(IntSupplier count, Supplier<List<String>> vms) {
        return new PoolHomes() {
            @Override
            public boolean isHome(long nowMs, int pool) {
                return true;
            }

            @Override
            public int count(int pool) {
                return count.getAsInt();
            }

            @Override
            public List<String> others(int pool) {
                return List.of();
            }

            @Override
            public List<String> vms() {
                return vms.get();
            }
        };
    }
}
