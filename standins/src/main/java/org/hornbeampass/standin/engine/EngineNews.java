package org.hornbeampass.standin.engine;

/**
 * How late and how incomplete the engine's news of itself is.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param loadLagMs the age of a load report, in milliseconds
 * @param cacheLagMs the least age of a cache event, in milliseconds
 * @param cacheLoss the probability with which a cache event is missing, from 0 to 1
 * @param cacheRetained how many of the latest cache events are kept
 * @param seed the seed of the losses
 */
public record EngineNews(
        long loadLagMs, long cacheLagMs, double cacheLoss, int cacheRetained, long seed) {
    /** Returns load reports 500 ms and cache events 1 s late, of which 1 in 100 is missing. */
    public static EngineNews defaults() {
        return new EngineNews(500, 1_000, 0.01, 10_000, 1);
    }

    /** Returns news without lag or loss. */
    public static EngineNews prompt() {
        return new EngineNews(0, 0, 0, 10_000, 1);
    }
}
