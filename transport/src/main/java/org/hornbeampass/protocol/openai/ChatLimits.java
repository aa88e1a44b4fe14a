package org.hornbeampass.protocol.openai;

/**
 * Bounds on what a chat completion request may hold.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param maxBodyBytes the largest body in bytes
 * @param maxNesting the deepest nesting of JSON arrays and objects
 * @param maxMessages the largest number of messages
 * @param maxNameChars the longest model or adapter name in characters
 */
public record ChatLimits(int maxBodyBytes, int maxNesting, int maxMessages, int maxNameChars) {
    /** Returns bounds that suit long documents. */
    public static ChatLimits defaults() {
        return new ChatLimits(4 << 20, 32, 4_096, 256);
    }
}
