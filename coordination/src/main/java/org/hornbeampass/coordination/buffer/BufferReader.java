package org.hornbeampass.coordination.buffer;

/**
 * One reader for which a VM holds bytes: the other side of a connection that has yet to read them.
 *
 * <p>Called on one event loop only.
 */
public interface BufferReader {
    /**
     * Returns whether the reader holds up a sender that can be paused. A reader that awaits the
     * rest of what is held does not: with its sender paused, it would wait for ever.
     */
    boolean holdsUpSender();

    /** Stops or resumes reading from the sender whose bytes are held. */
    void setSenderPaused(boolean paused);

    /** Counts again what is held, since a socket takes bytes without notice. */
    void measure(long nowMs);

    /**
     * Closes the reader's connection and releases what is held for it.
     *
     * @param nowMs the present time in milliseconds
     * @param heldBytes what is held
     * @param stalledMs for how long the reader has taken nothing, in milliseconds
     * @return whether the reader was closed; some must not be
     */
    boolean close(long nowMs, long heldBytes, long stalledMs);
}
