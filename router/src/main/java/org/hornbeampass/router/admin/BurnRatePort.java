package org.hornbeampass.router.admin;

import org.hornbeampass.protocol.admin.SloView;

/**
 * What the operators' API needs of the service-level objectives.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface BurnRatePort {
    /** Returns what this router counted against objectives. */
    SloView burnRates(long nowMs);
}
