package org.hornbeampass.coordination.slo;

/**
 * The counts of one objective in one time bucket.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param startMs the start of the bucket, in milliseconds since 1970
 * @param widthMs the length of the bucket, in milliseconds
 * @param objective the objective
 * @param counts the requests counted in the bucket
 */
public record BurnPoint(long startMs, long widthMs, Objective objective, Counts counts) {}
