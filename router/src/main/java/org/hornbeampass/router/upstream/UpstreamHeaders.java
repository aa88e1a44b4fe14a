package org.hornbeampass.router.upstream;

/**
 * The headers that the router sends to upstreams or reads from their answers, besides the standard
 * ones.
 */
final class UpstreamHeaders {
    /** The request's id, the same for all attempts. */
    static final String REQUEST_ID = "x-request-id";

    /** The attempt's id, unique across all VMs. */
    static final String ATTEMPT_ID = "x-attempt-id";

    /** The priority from 0 to 9; requests with a higher priority run first. */
    static final String PRIORITY = "x-priority";

    /** The time that is left until the answer is due, in milliseconds. */
    static final String DEADLINE_MS = "x-deadline-ms";

    /** The number of tokens that the caller already has; generation resumes after them. */
    static final String RESUME_OFFSET = "x-hornbeampass-resume-offset";

    /** Is {@code true} on answers of an upstream that wants no new requests. */
    static final String LEAVING = "x-hornbeampass-leaving";

    private UpstreamHeaders() {}
}
