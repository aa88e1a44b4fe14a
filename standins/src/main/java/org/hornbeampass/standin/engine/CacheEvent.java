package org.hornbeampass.standin.engine;

/**
 * One change of the engine's prefix cache.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param sequence grows by one with each change; a jump tells the reader of a gap
 * @param atMs when it came about, in milliseconds
 * @param kind what changed
 * @param blockHash the block, see {@code PromptTokens.blockHashes}
 */
public record CacheEvent(long sequence, long atMs, Kind kind, long blockHash) {
    /** The kinds of change. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
