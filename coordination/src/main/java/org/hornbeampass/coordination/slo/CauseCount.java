package org.hornbeampass.coordination.slo;

/**
 * The number of bad requests of the last hour that are attributed to one cause.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param cause the cause
 * @param count the number of requests
 */
public record CauseCount(BurnCause cause, long count) {}
