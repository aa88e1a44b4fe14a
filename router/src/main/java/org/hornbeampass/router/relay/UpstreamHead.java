package org.hornbeampass.router.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the head of a request says to an upstream beyond what the caller sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstreamId the upstream that must run it; any other refuses
 * @param organisation the organisation that pays
 * @param remainingMs how long the caller still waits, in milliseconds
 * @param lastEventId the last event that the caller has, where this VM goes on with a stream
 * @param urgency how soon an engine should take it up, from 0 for the first to 9
 */
public record UpstreamHead(
        String upstreamId,
        Optional<String> organisation,
        OptionalLong remainingMs,
        OptionalLong lastEventId,
        OptionalInt urgency) {}
