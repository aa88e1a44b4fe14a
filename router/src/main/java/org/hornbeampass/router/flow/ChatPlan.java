package org.hornbeampass.router.flow;

/**
 * The parameters of one chat completion that are fixed before its flow starts.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param stream whether the answer is streamed
 * @param includeUsage whether a streamed answer ends with a usage chunk
 * @param maxPromptTokens the largest number of tokens that the prompt can have
 * @param completionLimit the largest number of completion tokens; sent to the upstream and enforced
 *     by the router
 * @param deadlineMs the time at which the request fails if it has not ended, in milliseconds
 * @param answerId the id in each chunk sent to the caller, as a JSON string including its quotes
 * @param model the name of the model
 */
public record ChatPlan(
        boolean stream,
        boolean includeUsage,
        long maxPromptTokens,
        long completionLimit,
        long deadlineMs,
        String answerId,
        String model) {
    /**
     * Returns the number of tokens to reserve: the sum of both limits, or {@link Long#MAX_VALUE} if
     * the sum overflows.
     */
    public long worstCaseTokens() {
        long sum = maxPromptTokens + completionLimit;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }
}
