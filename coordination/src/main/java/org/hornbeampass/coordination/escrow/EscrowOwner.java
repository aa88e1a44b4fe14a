package org.hornbeampass.coordination.escrow;

/**
 * Who holds grants: one life of one VM.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vm the VM's name, the same after a restart
 * @param incarnation this life; from a strong random source, never from a clock, since a clock that
 *     is set back would give a life the grants of an earlier one
 */
public record EscrowOwner(String vm, String incarnation) {}
