package org.hornbeampass.router.admin;

import org.hornbeampass.protocol.admin.SloView;

/**
 * Reports the burn rates of the service-level objectives for the operators' API.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface BurnRatePort {
    /** Returns the counts of this router for each objective, as of a time in milliseconds. */
    SloView burnRates(long nowMs);
}
