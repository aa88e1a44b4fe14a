package org.hornbeampass.coordination.escrow;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * A {@link PoolHomes} for which every VM is a home of every pool.
 *
 * <p>Not thread-safe.
 */
record AllVmsHomes(IntSupplier vmCount, Supplier<List<String>> otherVmNames) implements PoolHomes {
    @Override
    public boolean isHome(int pool) {
        return true;
    }

    @Override
    public int homeCount(int pool) {
        return vmCount.getAsInt();
    }

    @Override
    public List<String> otherHomes(int pool) {
        return List.of();
    }

    @Override
    public List<String> otherVms() {
        return otherVmNames.get();
    }
}
