package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

/**
 * What came of claiming a call that may not be repeated.
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
     * @param failure why
     */
    record Refused(Failure failure) implements ClaimResult {}
}
