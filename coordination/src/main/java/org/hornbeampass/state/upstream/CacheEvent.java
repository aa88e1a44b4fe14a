package org.hornbeampass.state.upstream;

import java.util.Objects;

/**
 * A change of the prefix cache of an engine.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what changed
 * @param digest the digest of the prefix that ends with the changed block, as defined in {@link
 *     PrefixDigests}; ignored for {@link Kind#CLEARED}
 */
public record CacheEvent(Kind kind, long digest) {
    /** Checks that no part is missing. */
    public CacheEvent {
        Objects.requireNonNull(kind, "kind");
    }

    /** The kinds of change. */
    public enum Kind {
        /** The block was added to the cache. */
        STORED,
        /** The block was evicted from the cache. */
        REMOVED,
        /** The whole cache was dropped. */
        CLEARED
    }
}
