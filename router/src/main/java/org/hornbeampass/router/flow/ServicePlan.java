package org.hornbeampass.router.flow;

/**
 * What is fixed for one call to a plain service before its flow starts.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param repeatable whether the call may run more than once
 * @param deadlineMs when the call is given up, in milliseconds
 */
public record ServicePlan(boolean repeatable, long deadlineMs) {}
