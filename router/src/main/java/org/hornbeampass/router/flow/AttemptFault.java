package org.hornbeampass.router.flow;

/**
 * How an attempt failed.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind how it failed
 * @param reason what happened, for logs
 */
public record AttemptFault(Kind kind, String reason) {
    /** The ways in which an attempt fails. */
    public enum Kind {
        /** No byte was sent. */
        NOT_SENT,
        /** The upstream refused the request for its load, before running it. */
        REFUSED,
        /** The upstream answered with an error of its own. */
        UPSTREAM_ERROR,
        /** The connection was lost, or the answer was not of the known shape. */
        BROKEN;

        /** Returns whether the request may have run, at least in part. */
        public boolean mayHaveRun() {
            return this == UPSTREAM_ERROR || this == BROKEN;
        }
    }
}
