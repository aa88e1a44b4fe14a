package org.hornbeampass.coordination.escrow;

import java.util.List;

/** Homes as seen by a VM that is none: all pools have the same homes, the other VMs. */
record OtherHomes(List<String> names) implements PoolHomes {
    @Override
    public boolean isHome(int pool) {
        return false;
    }

    @Override
    public int homeCount(int pool) {
        return names.size();
    }

    @Override
    public List<String> otherHomes(int pool) {
        return names;
    }

    @Override
    public List<String> otherVms() {
        return names;
    }
}
