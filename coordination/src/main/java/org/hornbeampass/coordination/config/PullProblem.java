package org.hornbeampass.coordination.config;

/**
 * The reason why a peer returns no changes.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum PullProblem {
    /** No problem: the reply contains all newer changes or the first of them. */
    NONE,
    /** The peer no longer keeps the requested changes; load a snapshot instead. */
    TOO_OLD,
    /** The histories of the two VMs differ. */
    FOREIGN
}
