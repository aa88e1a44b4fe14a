package org.hornbeampass.coordination.service;

/**
 * Receives changes of the rate at which an upstream reads prompts.
 *
 * <p>Called on the thread of the {@link UpstreamRegistry}.
 */
@FunctionalInterface
public interface UpstreamSpeedListener {
    /** Ignores all changes. */
    UpstreamSpeedListener NONE = (nowMs, upstream, formerTokensPerMs, tokensPerMs, samples) -> {};

    /**
     * Called when the learnt rate differs by a third from the one of the last call.
     *
     * @param nowMs the present time in milliseconds
     * @param upstream the upstream
     * @param formerTokensPerMs the former rate in prompt tokens per millisecond
     * @param tokensPerMs the learnt rate in prompt tokens per millisecond
     * @param samples the number of observations of the incarnation
     */
    void onSpeed(
            long nowMs,
            UpstreamIncarnation upstream,
            double formerTokensPerMs,
            double tokensPerMs,
            int samples);
}
