package org.hornbeampass.coordination.escrow;

/**
 * Whether a request's tokens could be reserved.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum Admission {
    /** They are reserved, and must be settled. */
    RESERVED,
    /** The organisation has no budget, so that nothing was reserved. */
    UNMETERED,
    /** The budget is proved to be used up: what all VMs report as spent leaves no room. */
    EXHAUSTED,
    /** This VM holds too few, but others may hold some, or the store can't be asked. */
    INSUFFICIENT_HERE
}
