package org.hornbeampass.coordination.platform;

/**
 * Receives the progress of an answer of the platform that is still being received.
 *
 * <p>Called on the thread that later runs the reply callback, and never after that callback.
 */
@FunctionalInterface
public interface AnswerProgress {
    /** Does nothing. */
    AnswerProgress IGNORED = (nowMs, bytes) -> {};

    /**
     * Called when bytes of the answer's body have arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param bytes the number of bytes
     */
    void onBytes(long nowMs, int bytes);

    /**
     * Called when the head of an answer, of whatever outcome, states the era of the store. The era
     * increases each time the store is restored from an older copy.
     *
     * @param nowMs the present time in milliseconds
     * @param era the era
     */
    default void onEra(long nowMs, long era) {}
}
