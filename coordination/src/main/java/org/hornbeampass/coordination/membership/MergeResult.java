package org.hornbeampass.coordination.membership;

/**
 * Result of merging one update into the table.
 *
 * <p>Immutable; safe for use by any thread.
 */
enum MergeResult {
    /** The table already has this update or a newer one. */
    UNCHANGED,
    /** The table changed, and the change has to be sent to other VMs. */
    CHANGED,
    /** The update contradicts the state of this incarnation, which has to refute it. */
    NEEDS_REFUTATION,
    /** A newer incarnation of this VM's own name is running, so this process must stop. */
    SUPERSEDES_SELF,
    /**
     * The update accuses a VM, but the sender's accusation is not accepted; it is forwarded to the
     * accused VM instead.
     */
    REJECTED,
    /** The update is on an incarnation whose details are not known here. */
    LACKS_DETAILS
}
