package org.hornbeampass.standin.engine;

/**
 * What an engine says of its load at one time.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param atMs the time that it describes, in milliseconds
 * @param running how many sequences run
 * @param waiting how many jobs wait
 * @param maxBatch how many sequences can run at once
 * @param cachedBlocks how many blocks the prefix cache holds
 * @param tokensGenerated how many tokens were generated since the start
 */
public record LoadReport(
        long atMs, int running, int waiting, int maxBatch, int cachedBlocks, long tokensGenerated) {
    LoadReport describing(long otherMs) {
        return new LoadReport(otherMs, running, waiting, maxBatch, cachedBlocks, tokensGenerated);
    }
}
