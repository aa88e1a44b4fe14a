package org.hornbeampass.router.flow;

/**
 * What one request is to be billed.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 */
public record BillAmount(long promptTokens, long completionTokens) {
    /** A bill of nothing. */
    public static final BillAmount NOTHING = new BillAmount(0, 0);

    /** Returns the sum of tokens. */
    public long totalTokens() {
        return promptTokens + completionTokens;
    }
}
