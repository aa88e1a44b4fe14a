package org.hornbeampass.experiment.load;

/**
 * A point of a demand curve, which is straight between its points and level after the last.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param atMs from the start, in milliseconds
 * @param perSecond the rate of requests
 */
public record DemandPoint(long atMs, double perSecond) {}
