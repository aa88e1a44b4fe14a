package org.hornbeampass.state.requests;

/**
 * A claim whose call has no known outcome.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the call
 * @param attempt the attempt that holds it
 * @param claimedAtMs when it was granted, in milliseconds
 */
public record OpenClaim(RequestKey key, AttemptId attempt, long claimedAtMs) {}
