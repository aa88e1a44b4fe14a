package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

/**
 * The result of claiming a call that must not run twice.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface ClaimResult {
    /** The claim is durable and this request's own: it may run, once. */
    record Granted() implements ClaimResult {}

    /**
     * An earlier request with the same id has run; this is its answer.
     *
     * @param answer the answer
     */
    record Recorded(UpstreamAnswer answer) implements ClaimResult {}

    /**
     * The request may not run.
     *
     * @param failure the reason
     */
    record Refused(Failure failure) implements ClaimResult {}
}
