package org.hornbeampass.router.relay;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.random.RandomGenerator;

/**
 * Creates the failures for requests that did not run, with the time after which their callers may
 * retry.
 *
 * <p>Stateless.
 */
final class Refusals {
    /** Tells a caller why its request is not sent to upstreams. */
    static final String QUARANTINED_MESSAGE =
            "upstreams crashed each time they ran this request, so it is not sent to any other";

    /** Tells a caller why requests with a part of its prompt are not sent to upstreams. */
    static final String PART_QUARANTINED_MESSAGE =
            "upstreams crashed each time they ran a request with a part of this prompt, so none is"
                    + " sent to any other";

    /** Tells a caller why its request is not sent to upstreams for a moment. */
    static final String CRASH_UNDECIDED_MESSAGE =
            "connections of this request were lost at several upstreams; whether these crashed is"
                    + " being checked";

    /** When to retry where no upstream has free capacity. */
    private static final long NO_UPSTREAM_RETRY_MS = 250;

    /** When to retry where it is being checked whether upstreams crashed. */
    private static final long CRASH_CHECK_RETRY_MS = 250;

    /** When to retry at another VM, or at a VM whose event loop was late. */
    private static final long OVERLOADED_RETRY_MS = 100;

    /** The least time after which a caller that a VM refused may retry elsewhere. */
    private static final long MIN_BACKLOG_RETRY_MS = 5;

    /** The shortest and the longest time over which such retries are spread. */
    private static final long MIN_BACKLOG_JITTER_MS = 50;

    private static final long MAX_BACKLOG_JITTER_MS = 300;

    /** When to retry at a VM that has no configuration yet, or perhaps an outdated one. */
    private static final long CONFIGURATION_RETRY_MS = 300;

    /**
     * When to retry where all failure domains with upstreams are evacuated. Operators evacuate a
     * failure domain for seconds at least, and no end is announced.
     */
    private static final long EVACUATED_RETRY_MS = 3_000;

    /** Over what time the retries of callers that were refused by an evacuation are spread. */
    private static final long EVACUATED_JITTER_MS = 1_000;

    /**
     * Over what time the retries are spread once an upstream's rate limit allows a request again.
     */
    private static final long RATE_LIMIT_JITTER_MS = 500;

    private Refusals() {}

    /** Returns the failure for a router that has no configuration yet. */
    static Failure noConfiguration() {
        return notReady("this router has no configuration yet; retry later or at another address");
    }

    /**
     * Returns the failure for something that this router's configuration lacks, while the
     * configuration may be outdated.
     */
    static Failure missingHere(String missing) {
        return notReady(
                missing
                        + "; this router's configuration may be outdated, retry later or at another"
                        + " address");
    }

    private static Failure notReady(String why) {
        return Failure.retryAfter(ErrorKind.NOT_READY, why, CONFIGURATION_RETRY_MS);
    }

    /** Returns the failure for a router that is shutting down. */
    static Failure shuttingDown() {
        return Failure.retryAfter(
                ErrorKind.SHUTTING_DOWN,
                "this router is shutting down; send the request to another address",
                0);
    }

    /** Returns the failure for a router whose event loop is too late to serve more requests. */
    static Failure overloaded() {
        return Failure.retryAfter(
                ErrorKind.OVERLOADED,
                "this router handles as many requests as it can; send the request to another"
                        + " address",
                OVERLOADED_RETRY_MS);
    }

    /** Returns the failure for a router that holds as many bytes for slow readers as it may. */
    static Failure buffersFull() {
        return Failure.retryAfter(
                ErrorKind.OVERLOADED,
                "this router's buffers are full; send the request to another address",
                OVERLOADED_RETRY_MS);
    }

    /**
     * Returns the failure for a router whose backlog is too long for a request.
     *
     * @param backlogMs the backlog in milliseconds, over which the retries are spread
     * @param random spreads the retries of callers that are refused at the same time
     */
    static Failure backlogged(long backlogMs, RandomGenerator random) {
        long jitterMs = Math.max(MIN_BACKLOG_JITTER_MS, Math.min(MAX_BACKLOG_JITTER_MS, backlogMs));
        return Failure.retryAfter(
                ErrorKind.OVERLOADED,
                "this router has a backlog; send the request to another address",
                MIN_BACKLOG_RETRY_MS + random.nextLong(jitterMs));
    }

    /** Returns the failure for an organisation without tokens left. */
    static Failure exhausted() {
        return Failure.of(ErrorKind.BUDGET_EXHAUSTED, "the prepaid tokens are used up");
    }

    /** Returns the failure for an organisation that has tokens left, but too few on this VM. */
    static Failure tooFewTokens(TokenShortage.Reason reason) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "this router holds too few tokens at present; retry later or at another address",
                reason.retryMs());
    }

    /**
     * Returns the failure for a request that is quarantined itself or by a part of its prompt.
     *
     * @param message which of the two
     * @param retryAfterMs after how long the request may be sent again, in milliseconds
     */
    static Failure quarantined(String message, long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.REQUEST_QUARANTINED,
                message + "; a retry before the stated time is refused again",
                retryAfterMs);
    }

    /** Returns the failure for a request during which upstreams may have crashed. */
    static Failure crashUndecided() {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM, CRASH_UNDECIDED_MESSAGE, CRASH_CHECK_RETRY_MS);
    }

    /** Returns the failure for a request that no upstream could accept. */
    static Failure noUpstream(String why) {
        return Failure.retryAfter(ErrorKind.NO_UPSTREAM, why, NO_UPSTREAM_RETRY_MS);
    }

    /** Returns the failure for a request that got no room at its service in time. */
    static Failure noRoom(long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM,
                "the service has no room for the request at present; a retry before the stated time"
                        + " gains nothing",
                retryAfterMs);
    }

    /**
     * Returns the failure for a time at which all upstreams have asked for a pause.
     *
     * @param pauseLeftMs how much longer the shortest pause lasts, in milliseconds
     */
    static Failure upstreamsPaused(long pauseLeftMs) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM, "all upstreams have asked for a pause", pauseLeftMs);
    }

    /**
     * Returns the failure for a service whose upstreams are all in evacuated failure domains.
     *
     * @param random spreads the retries of callers that are refused at the same time
     */
    static Failure evacuated(RandomGenerator random) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM,
                "all failure domains with upstreams of the service are evacuated",
                EVACUATED_RETRY_MS + random.nextLong(EVACUATED_JITTER_MS));
    }

    /**
     * Returns the failure for a time at which all upstreams have reached their rate limits.
     *
     * @param leftMs after how long the first one accepts a request again, in milliseconds
     * @param random spreads the retries of callers that are refused at the same time
     */
    static Failure rateLimited(long leftMs, RandomGenerator random) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM,
                "all upstreams have received as many requests as they take at present",
                leftMs + random.nextLong(RATE_LIMIT_JITTER_MS));
    }
}
