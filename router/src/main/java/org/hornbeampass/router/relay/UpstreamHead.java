package org.hornbeampass.router.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the head of a request tells an upstream in addition to the caller's own headers.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstreamId the id of the upstream that must run the request; any other refuses it
 * @param organisation the organisation that pays
 * @param remainingMs how much longer the caller waits, in milliseconds
 * @param lastEventId the id of the last event that the caller has received, where this VM resumes a
 *     stream
 * @param urgency how soon an engine should start with the request, from 0 (first) to 9
 */
public record UpstreamHead(
        String upstreamId,
        Optional<String> organisation,
        OptionalLong remainingMs,
        OptionalLong lastEventId,
        OptionalInt urgency) {}
