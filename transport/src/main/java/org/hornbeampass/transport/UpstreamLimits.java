package org.hornbeampass.transport;

/**
 * Bounds on input from upstreams, from the store and from other VMs that would never complete an
 * answer.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param headBytes the most bytes before the head of an answer is complete, with informational
 *     answers and answers to other requests; also the most bytes of its framing that are not
 *     covered by its body
 * @param informationalAnswers the most answers that are skipped before the answer to a request
 * @param eventBytes the most bytes of one event of a stream
 * @param silentBytes the most bytes of a stream without a complete event
 */
public record UpstreamLimits(
        int headBytes, int informationalAnswers, int eventBytes, int silentBytes) {
    /**
     * Bounds of twice the decoder's limit of a head, and of several hundred kilobytes for an event,
     * which leave room for several skipped answers and for long events.
     */
    public static final UpstreamLimits DEFAULT =
            new UpstreamLimits(128 << 10, 32, 256 << 10, 256 << 10);
}
