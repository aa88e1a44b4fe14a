package org.hornbeampass.coordination.escrow;

/**
 * A request that waits for tokens.
 *
 * <p>Called on the thread of the {@link EscrowBook}.
 */
@FunctionalInterface
public interface TokenWaiter {
    /** Tries again to reserve the tokens; called when they are free, or when the search ends. */
    void retry();

    /** Returns whether the request still waits; the search goes on only for those that do. */
    default boolean isWaiting() {
        return true;
    }
}
