package org.hornbeampass.coordination.fleet;

/**
 * One step of a schedule.
 *
 * <p>Immutable.
 *
 * @param kind what happens
 * @param vm the number of the VM that it happens to
 * @param waitMs how long the fleet runs after it, in milliseconds
 */
record FleetStep(Kind kind, int vm, int waitMs) {
    /** What may happen in a fleet. */
    enum Kind {
        WAIT,
        PROPOSE,
        PROPOSE_TWICE,
        KILL,
        RESTART,
        PAUSE,
        RESUME,
        LEAVE,
        CUT_REGION,
        CUT_VM,
        HEAL,
        PLATFORM_OUTAGE,
        PLATFORM_MESSAGE_LOSS,
        PLATFORM_RECOVERY,
        PEER_MESSAGE_LOSS,
        PEER_RECOVERY,
        STALE_LIST,
        CURRENT_LIST,
        GARBLED_REPLIES
    }
}
