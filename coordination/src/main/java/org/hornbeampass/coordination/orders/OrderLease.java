package org.hornbeampass.coordination.orders;

import java.util.OptionalLong;

/**
 * Provides the fencing number of the lease that allows this VM to write orders.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface OrderLease {
    /**
     * Returns the fencing number under which this VM may write orders now; empty if it holds no
     * lease, or if its lease is about to expire.
     */
    OptionalLong fencingNumber(long nowMs);
}
