package org.hornbeampass.state.upstream;

import java.util.Objects;

/**
 * One change of an engine's prefix cache.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what changed
 * @param digest the digest of the prefix that ends with the changed block, as in {@link
 *     PrefixDigests}; ignored for {@link Kind#CLEARED}
 */
public record CacheEvent(Kind kind, long digest) {
    /** Checks that no part is missing. */
    public CacheEvent {
        Objects.requireNonNull(kind, "kind");
    }

    /** The kinds of change. */
    public enum Kind {
        /** The block is in the cache now. */
        STORED,
        /** The block was evicted. */
        REMOVED,
        /** The whole cache was dropped. */
        CLEARED
    }
}
