package org.hornbeampass.coordination.budget;

/**
 * Snapshot of the tokens that a VM holds of one budget, for metrics and status pages.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param free the tokens neither spent nor reserved
 * @param reserved the tokens reserved for requests in progress
 * @param overrun the tokens used by requests beyond their reservations, which are the operator's
 *     loss
 * @param waiting the number of requests that wait for a grant
 */
public record HoldingView(long free, long reserved, long overrun, int waiting) {
    static HoldingView of(Holding holding, int waiting) {
        return new HoldingView(holding.free(), holding.reserved(), holding.overrun(), waiting);
    }
}
