package org.hornbeampass.coordination.fleet;

/**
 * Step of a schedule.
 *
 * <p>Immutable.
 *
 * @param kind what happens
 * @param vm the number of the VM to which it happens
 * @param waitMs how long the fleet runs afterwards, in milliseconds
 */
record FleetStep(Kind kind, int vm, int waitMs) {
    /** Events and faults of a fleet. */
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
