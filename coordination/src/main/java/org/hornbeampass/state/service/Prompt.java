package org.hornbeampass.state.service;

import java.util.List;

/**
 * How much a request to a model reads and may write, and which parts of its prompt it shares.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens that the answer may have
 * @param parts the prompt's parts in order; the last belongs to the request or its session alone
 */
public record Prompt(long promptTokens, long maxOutputTokens, List<Part> parts) {
    /** What a request that is not to a model reads and writes. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * A part of a prompt.
     *
     * @param id names its text; equal texts have equal ids
     * @param tokens its length
     */
    public record Part(String id, long tokens) {}

    /** Returns the most tokens that the request may use. */
    public long maxTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Returns the tokens of the parts that other requests may share. */
    public long sharedTokens() {
        long shared = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            shared += parts.get(i).tokens();
        }
        return shared;
    }

    /** Returns a hash of the shared parts; 0 where nothing is shared. */
    public long sharedHash() {
        long hash = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            hash = hash * 31 + parts.get(i).id().hashCode();
        }
        return hash;
    }
}
