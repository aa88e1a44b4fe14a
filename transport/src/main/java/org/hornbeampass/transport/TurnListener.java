package org.hornbeampass.transport;

/**
 * Observes how long the turns of an event loop take.
 *
 * <p>Called by the thread of the loop, after each turn; implementations must not block.
 */
@FunctionalInterface
public interface TurnListener {
    /** Ignores all turns. */
    TurnListener NONE = workedNs -> {};

    /**
     * Called after a turn.
     *
     * @param workedNs the time for reading and writing sockets and running tasks, in nanoseconds,
     *     without the time in which the loop waited
     */
    void onTurn(long workedNs);
}
