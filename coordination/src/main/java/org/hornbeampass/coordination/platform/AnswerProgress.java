package org.hornbeampass.coordination.platform;

/**
 * Hears that an answer of the platform is on its way, before it is whole.
 *
 * <p>Called on the thread that later runs the reply, never after it.
 */
@FunctionalInterface
public interface AnswerProgress {
    /** Does nothing. */
    AnswerProgress IGNORED = (nowMs, bytes) -> {};

    /**
     * Some bytes of the answer's body came.
     *
     * @param nowMs the present time in milliseconds
     * @param bytes how many
     */
    void onBytes(long nowMs, int bytes);
}
