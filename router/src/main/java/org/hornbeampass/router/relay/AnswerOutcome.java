package org.hornbeampass.router.relay;

/**
 * What the head of an upstream's answer says about the request that it answers.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum AnswerOutcome {
    /** The request was run well. */
    SUCCEEDED,
    /** The request was run, and failed. */
    FAILED,
    /** The upstream had no room, and did not run it. */
    NOT_RUN,
    /** Another upstream has this address by now, and did not run it. */
    WRONG_UPSTREAM,
    /** It claims success but lacks what proves it, and is not passed on. */
    UNVERIFIED,
    /** It answers another request. */
    UNRELATED
}
