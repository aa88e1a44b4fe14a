package org.hornbeampass.state.service;

import java.util.List;

/**
 * The number of tokens of a request to a model, and the parts of its prompt.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param promptTokens the number of tokens of the prompt
 * @param maxOutputTokens the maximum number of tokens of the answer
 * @param parts the parts of the prompt in order; all but the last may be shared with other sessions
 */
public record Prompt(long promptTokens, long maxOutputTokens, List<Part> parts) {
    /** The prompt of a request that is not sent to a model. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * A part of a prompt.
     *
     * @param id the identifier of the text; equal texts have equal identifiers
     * @param tokens the length of the text in tokens
     */
    public record Part(String id, long tokens) {}

    /** Returns the maximum number of tokens that the request may use. */
    public long maxTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Returns the number of tokens of the parts that other requests may share. */
    public long sharedTokens() {
        long shared = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            shared += parts.get(i).tokens();
        }
        return shared;
    }

    /** Returns the identifiers of the parts that other requests may share. */
    public List<String> sharedPartIds() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(Part::id).toList();
    }

    /** Returns a hash of the parts that other requests may share; 0 if there are none. */
    public long sharedHash() {
        long hash = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            hash = hash * 31 + parts.get(i).id().hashCode();
        }
        return hash;
    }
}
