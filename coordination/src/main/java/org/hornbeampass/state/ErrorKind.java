package org.hornbeampass.state;

import static org.hornbeampass.state.RunState.NOT_RUN;
import static org.hornbeampass.state.RunState.RAN;
import static org.hornbeampass.state.RunState.UNKNOWN;

/**
 * All kinds of error that callers can receive, each with its HTTP status, the {@code error.type} of
 * the body, whether a retry can help, and whether the request ran.
 *
 * <p>Invariant: a kind whose {@link #runState()} is {@code NOT_RUN} is only returned before the
 * first byte is sent to an upstream. Each kind is documented in docs/ERRORS.md. Immutable; safe for
 * use by any thread.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, "invalid_request_error", false, NOT_RUN, 3),
    FIELD_INVALID(400, "invalid_request_error", false, NOT_RUN, 3),
    REQUEST_TOO_LARGE(413, "invalid_request_error", false, NOT_RUN, 3),
    HEAD_TOO_LARGE(431, "invalid_request_error", false, NOT_RUN, 3),
    REQUEST_TOO_SLOW(408, "invalid_request_error", true, NOT_RUN, 3),
    KEY_MISSING_OR_UNKNOWN(401, "authentication_error", false, NOT_RUN, 4),
    NOT_PERMITTED(403, "permission_error", false, NOT_RUN, 4),
    MODEL_UNKNOWN(404, "not_found_error", false, NOT_RUN, 5),
    NOT_FOUND(404, "not_found_error", false, NOT_RUN, 5),
    METHOD_NOT_ALLOWED(405, "invalid_request_error", false, NOT_RUN, 3),
    REVISION_CONFLICT(409, "conflict_error", true, NOT_RUN, 6),
    ALREADY_EXISTS(409, "conflict_error", false, NOT_RUN, 6),
    IDEMPOTENCY_KEY_REUSED(409, "conflict_error", false, NOT_RUN, 6),
    IDEMPOTENCY_KEY_EXPIRED(409, "conflict_error", false, NOT_RUN, 6),
    ALREADY_RUNNING(409, "conflict_error", true, UNKNOWN, 6),
    BUDGET_EXHAUSTED(402, "budget_error", false, NOT_RUN, 7),
    BUDGET_UNREACHABLE(503, "budget_error", true, NOT_RUN, 8),
    RATE_LIMITED(429, "rate_limit_error", true, NOT_RUN, 8),
    OVERLOADED(503, "overloaded_error", true, NOT_RUN, 8),
    BILLING_BACKLOG(503, "overloaded_error", true, NOT_RUN, 8),
    REQUEST_QUARANTINED(503, "upstream_error", false, NOT_RUN, 9),
    NO_UPSTREAM(503, "overloaded_error", true, NOT_RUN, 8),
    SHUTTING_DOWN(503, "overloaded_error", true, NOT_RUN, 8),
    NOT_READY(503, "overloaded_error", true, NOT_RUN, 8),
    PLATFORM_UNAVAILABLE(503, "overloaded_error", true, NOT_RUN, 8),
    DEADLINE_EXCEEDED_NOT_RUN(504, "timeout_error", true, NOT_RUN, 9),
    DEADLINE_EXCEEDED(504, "timeout_error", true, UNKNOWN, 9),
    UPSTREAM_FAILED(502, "upstream_error", true, RAN, 9),
    OUTCOME_UNKNOWN(502, "upstream_error", false, UNKNOWN, 10),
    STREAM_BROKEN(502, "upstream_error", true, RAN, 9),
    INTERNAL(500, "internal_error", false, UNKNOWN, 1);

    private final int mHttpStatus;
    private final String mType;
    private final boolean mRetryable;
    private final RunState mRunState;
    private final int mExitCode;

    ErrorKind(int httpStatus, String type, boolean retryable, RunState runState, int exitCode) {
        mHttpStatus = httpStatus;
        mType = type;
        mRetryable = retryable;
        mRunState = runState;
        mExitCode = exitCode;
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the {@code error.type} of the response body. */
    public String type() {
        return mType;
    }

    /** Returns the {@code error.code} of the response body, such as {@code budget_exhausted}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Returns whether the same request may succeed when it is sent again. */
    public boolean retryable() {
        return mRetryable;
    }

    /** Returns whether the request ran. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns the exit code of the command-line tool for this kind. */
    public int exitCode() {
        return mExitCode;
    }
}
