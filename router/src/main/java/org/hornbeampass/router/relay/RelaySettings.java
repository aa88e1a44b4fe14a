package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.ratelimit.SlowStartBounds;

/**
 * The bounds on sends that the settings of the installation state.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param retryRatio how many requests may be sent again for each that is sent for the first time,
 *     fleet-wide
 * @param retryExtra how many more requests may be sent again in each window, fleet-wide
 * @param retryWindowMs the length of the window, in milliseconds
 * @param slowStart the bound on the requests to an upstream in its slow start, fleet-wide
 */
public record RelaySettings(
        double retryRatio, double retryExtra, long retryWindowMs, SlowStartBounds slowStart) {}
