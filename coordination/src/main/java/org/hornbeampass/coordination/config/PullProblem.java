package org.hornbeampass.coordination.config;

/**
 * Why a peer gives no changes.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum PullProblem {
    /** None; it gives all that it has, or a first part. */
    NONE,
    /** It no longer keeps changes that are so old; start from a snapshot. */
    TOO_OLD,
    /** The two histories differ. */
    FOREIGN
}
