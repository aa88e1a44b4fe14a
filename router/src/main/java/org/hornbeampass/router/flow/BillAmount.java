package org.hornbeampass.router.flow;

/**
 * The numbers of tokens that one request is billed for.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param promptTokens the number of tokens of the prompt
 * @param completionTokens the number of tokens generated
 */
public record BillAmount(long promptTokens, long completionTokens) {
    /** The amount of a bill without tokens. */
    public static final BillAmount NOTHING = new BillAmount(0, 0);

    /** Returns the sum of prompt and completion tokens. */
    public long totalTokens() {
        return promptTokens + completionTokens;
    }
}
