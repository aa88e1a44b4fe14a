package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

/**
 * What came of claiming a call that may not be repeated.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface Claim {
    /** The claim is durable and this request's own: it may run, once. */
    record Own() implements Claim {}

    /**
     * An earlier request with the same id has run; this is its answer.
     *
     * @param answer the answer
     */
    record Recorded(UpstreamAnswer answer) implements Claim {}

    /**
     * The request may not run.
     *
     * @param failure why
     */
    record Refused(Failure failure) implements Claim {}
}
