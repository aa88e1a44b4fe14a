package org.hornbeampass.experiment.routing;

/**
 * What is wrong with an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum UpstreamFault {
    /** Nothing. */
    NONE,
    /** It answers each request with an error, after 5 ms. */
    ERRORS,
    /** Its process is gone: connections are refused at once and streams break. */
    DEAD,
    /** It can't be reached: connections time out and streams hang. */
    UNREACHABLE,
    /** It takes requests and does nothing. */
    FROZEN,
    /** It is leaving: it refuses new work and finishes what it has. */
    LEAVING
}
