package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Reports what one VM, or several, have observed of upstreams since their last report.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items one for each incarnation of an upstream with new observations
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamModelReport(List<Item> items) implements PeerMessage {
    /** Copies the list; one that is missing is empty. */
    public UpstreamModelReport {
        items = items == null ? List.of() : List.copyOf(items);
    }

    /**
     * The observations of one incarnation.
     *
     * @param upstream the incarnation
     * @param samples the number of observations
     * @param weight their weight in tokens
     * @param tokensPerMs the mean of the observed rates, in prompt tokens per millisecond
     * @param delayMs the mean time to the first event beyond reading, in milliseconds
     * @param ageMs the age of the newest observation, in milliseconds
     * @param eventMs the time between events in milliseconds; 0 where it is unknown
     * @param pauseMs the longest gap between events in milliseconds; 0 where there was none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            UpstreamIncarnation upstream,
            int samples,
            float weight,
            float tokensPerMs,
            float delayMs,
            int ageMs,
            float eventMs,
            float pauseMs) {}
}
