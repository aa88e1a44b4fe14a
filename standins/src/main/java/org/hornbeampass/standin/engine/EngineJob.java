package org.hornbeampass.standin.engine;

/**
 * One attempt at a completion, as the engine's model runs it.
 *
 * <p>Immutable but for the hash array, which callers do not change; safe for use by any thread.
 *
 * @param requestId the request, from {@code x-request-id}
 * @param attemptId the attempt, from {@code x-attempt-id}; unique among the jobs in progress
 * @param priority from 0 to 9; the greater is run first
 * @param prompt what is prefilled
 * @param answer what is generated
 */
public record EngineJob(
        String requestId, String attemptId, int priority, Prompt prompt, Answer answer) {
    /**
     * What is prefilled.
     *
     * @param tokens the number of prompt tokens
     * @param blockHashes the prompt's whole blocks, see {@code PromptTokens.blockHashes}
     */
    public record Prompt(int tokens, long[] blockHashes) {}

    /**
     * What is generated.
     *
     * @param tag stands in each token's text, see {@link AnswerText}
     * @param from the offset of the first token to generate; above 0 where a stream is resumed
     * @param end the number of tokens of the whole answer, from offset 0
     * @param cutByLimit whether the answer ends for the caller's limit
     */
    public record Answer(String tag, int from, int end, boolean cutByLimit) {}

    /** Returns the answer's last {@code finish_reason}. */
    public String finishReason() {
        return answer.cutByLimit() ? "length" : "stop";
    }
}
