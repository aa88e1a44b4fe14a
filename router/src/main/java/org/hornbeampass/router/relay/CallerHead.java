package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Prompt;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request's head says, apart from method, path and body.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id names this attempt of the caller; no two attempts share one
 * @param host the host asked for
 * @param timeoutMs how long the caller waits, in milliseconds from the head's arrival
 * @param apiKey the key that the caller shows
 * @param prompt what a model reads and may write for it
 * @param lastEventId the last event that the caller has, where it goes on with a stream
 */
public record CallerHead(
        String id,
        String host,
        OptionalLong timeoutMs,
        Optional<String> apiKey,
        Prompt prompt,
        OptionalLong lastEventId) {}
