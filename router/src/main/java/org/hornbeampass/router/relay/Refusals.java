package org.hornbeampass.router.relay;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.random.RandomGenerator;

/**
 * The answers to requests that did not run, with the time after which their callers may come back.
 *
 * <p>Stateless.
 */
final class Refusals {
    /** Why a request is kept from upstreams, for its caller. */
    static final String QUARANTINED_MESSAGE =
            "upstreams crashed each time that they ran this request, so it is kept from the others";

    /** When a caller may come back for tokens: after the next exchange with the store. */
    private static final long STORE_EXCHANGE_RETRY_MS = 200;

    /**
     * When a caller may come back for tokens while the store can't be reached; one that comes back
     * during the same cut is refused again.
     */
    private static final long STORE_UNREACHABLE_RETRY_MS = 2_500;

    /**
     * When a caller may come back where the store is reached, but neither it nor other VMs have the
     * tokens: once requests in progress have ended and given back what they did not use.
     */
    private static final long TOKENS_IN_USE_RETRY_MS = 1_500;

    /** When a caller may come back where no upstream has room. */
    private static final long NO_UPSTREAM_RETRY_MS = 250;

    /** When a caller may come back to a VM that knows no configuration yet, or not the newest. */
    private static final long CONFIGURATION_RETRY_MS = 300;

    /** Over what time callers come back once an upstream's rate limit allows a request again. */
    private static final long RATE_LIMIT_JITTER_MS = 500;

    private Refusals() {}

    /** What is known of the tokens that a request lacks. */
    enum TokenShortage {
        /** The store can't be reached, nor anything that it holds. */
        STORE_UNREACHABLE(STORE_UNREACHABLE_RETRY_MS),

        /** The store may hold more. */
        STORE_MAY_HAVE_MORE(STORE_EXCHANGE_RETRY_MS),

        /** Requests in progress hold what is left. */
        TOKENS_IN_USE(TOKENS_IN_USE_RETRY_MS);

        private final long mRetryMs;

        TokenShortage(long retryMs) {
            mRetryMs = retryMs;
        }
    }

    /** No configuration is known here yet. */
    static Failure noConfiguration() {
        return notReady("no configuration is known here yet; try again or elsewhere");
    }

    /** The configuration known here lacks something, and may not be the newest. */
    static Failure missingHere(String missing) {
        return notReady(missing + " as far as is known here; try again or elsewhere");
    }

    private static Failure notReady(String why) {
        return Failure.retryAfter(ErrorKind.NOT_READY, why, CONFIGURATION_RETRY_MS);
    }

    /** This router ends. */
    static Failure shuttingDown() {
        return Failure.retryAfter(
                ErrorKind.SHUTTING_DOWN,
                "this router shuts down; send the request to another address",
                0);
    }

    /** The organisation has no tokens left. */
    static Failure exhausted() {
        return Failure.of(ErrorKind.BUDGET_EXHAUSTED, "the prepaid tokens are used up");
    }

    /** The organisation has tokens left, but too few here. */
    static Failure tooFewTokens(TokenShortage shortage) {
        return Failure.retryAfter(
                ErrorKind.BUDGET_UNREACHABLE,
                "this router holds too few tokens now; try again or elsewhere",
                shortage.mRetryMs);
    }

    /**
     * Upstreams crashed under the request.
     *
     * @param retryAfterMs when it may be sent again, in milliseconds
     */
    static Failure quarantined(long retryAfterMs) {
        return Failure.retryAfter(
                ErrorKind.REQUEST_QUARANTINED,
                QUARANTINED_MESSAGE + "; repeating it is of no use before then",
                retryAfterMs);
    }

    /** No upstream could take the request. */
    static Failure noUpstream(String why) {
        return Failure.retryAfter(ErrorKind.NO_UPSTREAM, why, NO_UPSTREAM_RETRY_MS);
    }

    /**
     * All upstreams have asked for a pause.
     *
     * @param pauseLeftMs for how long the shortest one lasts still, in milliseconds
     */
    static Failure upstreamsPaused(long pauseLeftMs) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM, "all upstreams have asked for a pause", pauseLeftMs);
    }

    /**
     * All upstreams have got as many requests as they take.
     *
     * @param leftMs when the first one takes a request again, in milliseconds
     * @param random spreads the callers that are refused at the same time
     */
    static Failure rateLimited(long leftMs, RandomGenerator random) {
        return Failure.retryAfter(
                ErrorKind.NO_UPSTREAM,
                "all upstreams have got as many requests as they take now",
                leftMs + random.nextLong(RATE_LIMIT_JITTER_MS));
    }
}
