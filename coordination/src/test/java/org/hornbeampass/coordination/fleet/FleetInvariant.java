package org.hornbeampass.coordination.fleet;

/** What must hold after each step of a schedule, or at its end. */
enum FleetInvariant {
    /** The revision that one life of a VM runs never falls. */
    REVISION_NEVER_FALLS,
    /** What a VM runs at a revision is what the platform's log says up to that revision. */
    SAME_REVISION_SAME_CONFIGURATION,
    /** A change that was answered as accepted stands in the log at the revision answered. */
    ACCEPTED_CHANGE_IN_LOG,
    /** A change that was answered as refused is not in the log, and none is in it twice. */
    REJECTED_CHANGE_NOT_IN_LOG,
    /** A VM that leaves is in no answer of a VM that could hear of it for a while. */
    LEAVING_VM_NOT_IN_ANSWERS,
    /** A VM that died is live in no view of a VM that could find out for a while. */
    STOPPED_VM_NOT_LIVE,
    /** A life that still runs is never proved gone. */
    RUNNING_NOT_PROVED_GONE,
    /** After all faults end, all running VMs see each other. */
    VIEWS_AGREE_AT_THE_END,
    /** After all faults end, all running VMs are ready and run the newest revision. */
    CONFIGURATION_AGREES_AT_THE_END
}
