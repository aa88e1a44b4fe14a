package org.hornbeampass.router.relay;

/**
 * What decides whether a VM takes in a new request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param byBacklog whether requests are taken in by the VM's backlog and their urgency
 * @param bufferBytes the most bytes that are held for all slow readers together; 0 for no bound
 */
public record IntakeSettings(boolean byBacklog, long bufferBytes) {}
