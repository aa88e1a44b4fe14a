package org.hornbeampass.state.upstream;

/**
 * The part of the work that a model engine does.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum UpstreamRole {
    /** Prompts and tokens. */
    MIXED,
    /** Prompts only; it exports the KV cache. */
    PREFILL,
    /** Tokens only; it imports the KV cache. */
    DECODE
}
