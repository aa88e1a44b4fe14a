package org.hornbeampass.router.flow;

/**
 * What is fixed for one chat completion before its flow starts.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param stream whether the answer is streamed
 * @param includeUsage whether a streamed answer ends with a usage chunk
 * @param maxPromptTokens the largest number of tokens that the prompt can have
 * @param completionLimit the token limit that is sent upstream and enforced
 * @param deadlineMs when the request is given up, in milliseconds
 * @param answerId the id that the caller sees on each chunk, as a JSON string with its quotes
 * @param model the model's name
 */
public record ChatPlan(
        boolean stream,
        boolean includeUsage,
        long maxPromptTokens,
        long completionLimit,
        long deadlineMs,
        String answerId,
        String model) {
    /** Returns the tokens to reserve, at most {@link Long#MAX_VALUE}. */
    public long worstCaseTokens() {
        long sum = maxPromptTokens + completionLimit;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }
}
