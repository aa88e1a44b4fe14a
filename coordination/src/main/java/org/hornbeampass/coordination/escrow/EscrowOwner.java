package org.hornbeampass.coordination.escrow;

/**
 * Identifies the holder of grants: one incarnation of a VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the VM's name, which stays the same after a restart
 * @param incarnation the incarnation's unique id. It must come from a strong random source, never
 *     from a clock: if the clock is set back, an incarnation would receive the grants of an earlier
 *     one.
 */
public record EscrowOwner(String vm, String incarnation) {}
