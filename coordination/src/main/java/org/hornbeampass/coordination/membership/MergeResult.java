package org.hornbeampass.coordination.membership;

/**
 * What came of merging one update into the table.
 *
 * <p>Immutable; safe for use by any thread.
 */
enum MergeResult {
    /** It told nothing new. */
    UNCHANGED,
    /** The table changed, and others should hear of it. */
    CHANGED,
    /** It accuses this very incarnation of this VM, which has to refute. */
    NEEDS_REFUTATION,
    /** A newer incarnation of this VM's own name runs, so this process must stop. */
    SUPERSEDES_SELF,
    /** It accuses a VM on which the sender's word does not count; the VM should hear of it. */
    REJECTED,
    /** It names an incarnation whose details are not known here. */
    LACKS_DETAILS
}
