package org.hornbeampass.router.flow;

/**
 * How much of a streamed answer the caller has been sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param parts the number of chunks with a generated part
 * @param tokens the number of generated tokens in them, by the upstream's count
 */
public record RelayProgress(long parts, long tokens) {
    /** Nothing has been sent. */
    public static final RelayProgress NOTHING = new RelayProgress(0, 0);

    /** Returns whether nothing has been sent. */
    public boolean isNothing() {
        return parts == 0;
    }
}
