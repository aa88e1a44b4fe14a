package org.hornbeampass.coordination.fleet;

/** Invariants that hold after each step of a schedule, or at its end. */
enum FleetInvariant {
    /** The configuration revision of a VM never decreases within an incarnation. */
    REVISION_NEVER_FALLS,
    /**
     * The configuration of a VM at a revision results from the changes in the log up to that
     * revision.
     */
    SAME_REVISION_SAME_CONFIGURATION,
    /** A change that was reported as accepted is in the log at the reported revision. */
    ACCEPTED_CHANGE_IN_LOG,
    /** A change that was reported as rejected is not in the log, and no change is in it twice. */
    REJECTED_CHANGE_NOT_IN_LOG,
    /**
     * A leaving VM is in no address answer of a VM that has had time to receive the announcement.
     */
    LEAVING_VM_NOT_IN_ANSWERS,
    /** A stopped VM is live in no view of a VM that has had time to detect it. */
    STOPPED_VM_NOT_LIVE,
    /** A running incarnation is never proved gone. */
    RUNNING_NOT_PROVED_GONE,
    /** After all faults have ended, all running VMs see each other. */
    VIEWS_AGREE_AT_THE_END,
    /** After all faults have ended, all running VMs are ready and have the newest revision. */
    CONFIGURATION_AGREES_AT_THE_END
}
