package org.hornbeampass.state.requests;

/**
 * A granted claim for whose call no outcome is recorded.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the call
 * @param attempt the attempt that holds the claim
 * @param claimedAtMs when the claim was granted, in milliseconds
 */
public record OpenClaim(RequestKey key, AttemptId attempt, long claimedAtMs) {}
