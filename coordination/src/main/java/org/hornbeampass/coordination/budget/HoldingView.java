package org.hornbeampass.coordination.budget;

/**
 * What a VM holds of one budget at one moment, in tokens, for metrics and status pages.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param free neither spent nor reserved
 * @param reserved set aside for requests in progress
 * @param overrun used by callers beyond their reservations; the operator's loss
 * @param waiting the number of requests that wait for a grant
 */
public record HoldingView(long free, long reserved, long overrun, int waiting) {
    static HoldingView of(Holding holding, int waiting) {
        return new HoldingView(holding.free(), holding.reserved(), holding.overrun(), waiting);
    }
}
