package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.service.UpstreamEntry;

/**
 * Identifies one incarnation of an upstream, from its start to its end.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream's identity
 * @param bornMs when it started, in milliseconds of its own clock; -1 where its entry does not
 *     state it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamIncarnation(String upstream, long bornMs) {
    /** Stands for the start time of an upstream whose entry does not state it. */
    private static final long UNKNOWN_START_MS = -1;

    /** Returns the incarnation to which an entry belongs. */
    static UpstreamIncarnation of(UpstreamEntry entry) {
        return new UpstreamIncarnation(entry.id(), entry.bornMs().orElse(UNKNOWN_START_MS));
    }
}
