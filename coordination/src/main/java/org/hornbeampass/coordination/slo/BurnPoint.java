package org.hornbeampass.coordination.slo;

/**
 * One bucket of one objective.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param startMs when it starts, in milliseconds
 * @param widthMs how long it is, in milliseconds
 * @param objective the objective
 * @param counts what was counted in it
 */
public record BurnPoint(long startMs, long widthMs, Objective objective, Counts counts) {}
