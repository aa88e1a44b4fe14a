package org.hornbeampass.protocol.openai;

/**
 * Tokens that an upstream says it has used.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param promptTokens tokens of the prompt, cached ones included
 * @param completionTokens tokens generated
 */
public record Usage(long promptTokens, long completionTokens) {
    /** Returns the sum, at most {@link Long#MAX_VALUE}. */
    public long totalTokens() {
        long sum = promptTokens + completionTokens;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }
}
