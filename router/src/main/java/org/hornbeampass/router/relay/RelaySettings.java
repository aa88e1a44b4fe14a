package org.hornbeampass.router.relay;

/**
 * Bounds of the relay that the installation lays down.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param retryRatio how many requests may be sent again for each that is sent first, fleet-wide
 * @param retryExtra how many more in each window, fleet-wide
 * @param retryWindowMs the length of the window, in milliseconds
 */
public record RelaySettings(double retryRatio, double retryExtra, long retryWindowMs) {}
