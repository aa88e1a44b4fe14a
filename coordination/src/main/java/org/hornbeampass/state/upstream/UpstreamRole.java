package org.hornbeampass.state.upstream;

/**
 * The part of the work that a model engine does.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum UpstreamRole {
    /** Processes prompts and generates tokens. */
    MIXED,
    /** Only processes prompts, and exports the KV cache. */
    PREFILL,
    /** Only generates tokens, from an imported KV cache. */
    DECODE
}
