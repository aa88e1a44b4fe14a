package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.Route;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The contents of the head of a caller's request, apart from method, path and body.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id identifies this attempt of the caller; no two attempts share one
 * @param host the requested host
 * @param timeoutMs how long the caller waits, in milliseconds from the arrival of the head
 * @param apiKey the caller's API key
 * @param prompt the prompt that a model has to read, and the most tokens that it may generate
 * @param lastEventId the id of the last event that the caller has received, where it resumes a
 *     stream
 * @param resumes the id of the caller's attempt that brought the first event of the stream, where
 *     it states it
 * @param forwarded whether another VM forwarded the request to this one
 */
public record CallerHead(
        String id,
        String host,
        OptionalLong timeoutMs,
        Optional<String> apiKey,
        Prompt prompt,
        OptionalLong lastEventId,
        Optional<String> resumes,
        boolean forwarded) {
    /**
     * How long a request may take that sets no timeout, in milliseconds; the route's timeout
     * applies too.
     */
    private static final long DEFAULT_TIMEOUT_MS = 30_000;

    /**
     * How much earlier than the caller's timeout the answer is given, so that it arrives in time.
     */
    private static final long ANSWER_MARGIN_MS = 20;

    /** Stands for a head that was not read. */
    static final CallerHead NONE =
            new CallerHead(
                    "",
                    "",
                    OptionalLong.empty(),
                    Optional.empty(),
                    Prompt.NONE,
                    OptionalLong.empty(),
                    Optional.empty(),
                    false);

    /**
     * Returns the time by which a request must be answered, in milliseconds.
     *
     * @param arrivedMs when its head arrived, in milliseconds
     * @param route its route
     */
    long deadlineMs(long arrivedMs, Route route) {
        long waitMs = timeoutMs.orElse(DEFAULT_TIMEOUT_MS) - ANSWER_MARGIN_MS;
        return arrivedMs + Math.max(1, Math.min(waitMs, route.timeoutMs()));
    }
}
