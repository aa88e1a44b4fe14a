package org.hornbeampass.router.flow;

/**
 * The parameters of one call to a plain service that are fixed before its flow starts.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param repeatable whether the call may run more than once
 * @param deadlineMs the time at which the call fails if it has not ended, in milliseconds
 */
public record ServicePlan(boolean repeatable, long deadlineMs) {}
