package org.hornbeampass.coordination.escrow;

/**
 * The result of trying to reserve the tokens of a request.
 *
 * <p>Immutable and thread-safe.
 */
public enum Admission {
    /** The tokens are reserved and must be settled later. */
    RESERVED,
    /** The organisation has no prepaid budget, so nothing was reserved. */
    UNMETERED,
    /**
     * The budget is known to be used up: the spending that all VMs have reported leaves too few
     * tokens.
     */
    EXHAUSTED,
    /** This VM holds too few tokens, but other VMs may hold some, or the store is unreachable. */
    INSUFFICIENT_HERE
}
