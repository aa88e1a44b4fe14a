package org.hornbeampass.coordination.membership;

/**
 * What came of merging one update into the table.
 *
 * <p>Immutable; safe for use by any thread.
 */
enum MergeResult {
    /** It told nothing new. */
    KNOWN,
    /** The table changed, and others should hear of it. */
    CHANGED,
    /** It accuses this very incarnation of this VM, which has to refute. */
    ACCUSES_SELF,
    /** A newer incarnation of this VM's own name runs, so this process must stop. */
    SUPERSEDES_SELF,
    /** It accuses a VM on which the sender's word does not count; the VM should hear of it. */
    REFUSED,
    /** It names an incarnation whose details are not known here. */
    LACKS_DETAILS
}
