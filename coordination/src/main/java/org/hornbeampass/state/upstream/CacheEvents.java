package org.hornbeampass.state.upstream;

import org.hornbeampass.state.UpstreamId;

import java.util.List;
import java.util.Objects;

/**
 * A batch of cache events of one upstream, which arrives late and possibly after a gap.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream
 * @param incarnation the life of the upstream that sent them
 * @param firstSequence the sequence number of the first event; following events count up by one
 * @param events the events in their order
 */
public record CacheEvents(
        UpstreamId upstream, long incarnation, long firstSequence, List<CacheEvent> events) {
    /** Copies the list. */
    public CacheEvents {
        Objects.requireNonNull(upstream, "upstream");
        events = List.copyOf(events);
    }
}
