package org.hornbeampass.coordination.escrow;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Every VM is a home of every pool.
 *
 * <p>Not thread-safe.
 */
record EveryVmHome(IntSupplier vmCount, Supplier<List<String>> otherVms) implements PoolHomes {
    @Override
    public boolean isHome(int pool) {
        return true;
    }

    @Override
    public int count(int pool) {
        return vmCount.getAsInt();
    }

    @Override
    public List<String> others(int pool) {
        return List.of();
    }

    @Override
    public List<String> vms() {
        return otherVms.get();
    }
}
