package org.hornbeampass.router.flow;

/**
 * The amount of a streamed answer that the caller has been sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param parts the number of chunks with generated output
 * @param tokens the number of generated tokens in these chunks, as counted by {@link UsageMeter}
 */
public record RelayProgress(long parts, long tokens) {
    /** The progress of an answer of which nothing has been sent. */
    public static final RelayProgress NOTHING = new RelayProgress(0, 0);

    /** Returns whether nothing has been sent. */
    public boolean isNothing() {
        return parts == 0;
    }
}
