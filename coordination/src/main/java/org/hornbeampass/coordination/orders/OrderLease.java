package org.hornbeampass.coordination.orders;

import java.util.OptionalLong;

/**
 * Tells whether this VM is the one that writes orders.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface OrderLease {
    /**
     * Returns the fencing number under which this VM may write orders now; empty where it holds no
     * lease, or one that is about to end.
     */
    OptionalLong fencingNumber(long nowMs);
}
