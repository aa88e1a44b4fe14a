package org.hornbeampass.router.upstream;

/** The headers that the router sends to upstreams, and reads from them, besides the usual ones. */
final class UpstreamHeaders {
    /** The request's id, the same for all attempts. */
    static final String REQUEST_ID = "x-request-id";

    /** The attempt's id, unique over all VMs. */
    static final String ATTEMPT_ID = "x-attempt-id";

    /** The priority from 0 to 9; the greater is run first. */
    static final String PRIORITY = "x-priority";

    /** The time that is left for the answer, in milliseconds. */
    static final String DEADLINE_MS = "x-deadline-ms";

    /** The number of tokens that the caller has; generation goes on after them. */
    static final String RESUME_OFFSET = "x-hornbeampass-resume-offset";

    /** Says {@code true} on answers of an upstream that wants no new work. */
    static final String LEAVING = "x-hornbeampass-leaving";

    private UpstreamHeaders() {}
}
