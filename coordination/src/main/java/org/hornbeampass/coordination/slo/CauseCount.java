package org.hornbeampass.coordination.slo;

/**
 * How many bad requests of the last hour are put down to a cause.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param cause the cause
 * @param count how many
 */
public record CauseCount(BurnCause cause, long count) {}
