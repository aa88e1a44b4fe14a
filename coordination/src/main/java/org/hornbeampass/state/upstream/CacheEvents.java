package org.hornbeampass.state.upstream;

import org.hornbeampass.state.UpstreamId;

import java.util.List;
import java.util.Objects;

/**
 * A batch of cache events of one upstream. It may arrive late, and earlier batches may be missing.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param incarnation the incarnation of the upstream that sent the events
 * @param firstSequence the sequence number of the first event; the following events have
 *     consecutive numbers
 * @param events the events in order
 */
public record CacheEvents(
        UpstreamId upstream, long incarnation, long firstSequence, List<CacheEvent> events) {
    /** Copies the list. */
    public CacheEvents {
        Objects.requireNonNull(upstream, "upstream");
        events = List.copyOf(events);
    }
}
