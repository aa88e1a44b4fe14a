package org.hornbeampass.standin.engine;

/**
 * How long an engine's work takes, and its bounds.
 *
 * <p>A step lasts {@code stepBaseMs + stepPerSequenceMs * decoding sequences + prefillPerTokenMs *
 * prompt tokens prefilled in it}. Immutable; safe for use by any thread.
 *
 * @param stepBaseMs the fixed part of a step, in milliseconds
 * @param stepPerSequenceMs the part for each sequence that decodes, in milliseconds
 * @param prefillPerTokenMs the part for each prompt token, in milliseconds
 * @param prefillTokensPerStep how many prompt tokens one step prefills at most
 * @param maxBatch how many sequences run at once
 * @param maxWaiting how many jobs wait at most
 * @param cacheBlocks how many blocks the prefix cache holds
 */
public record EngineTiming(
        double stepBaseMs,
        double stepPerSequenceMs,
        double prefillPerTokenMs,
        int prefillTokensPerStep,
        int maxBatch,
        int maxWaiting,
        int cacheBlocks) {
    /** Checks the bounds. */
    public EngineTiming {
        if (!(stepBaseMs > 0) || !(stepPerSequenceMs >= 0) || !(prefillPerTokenMs >= 0)) {
            throw new IllegalArgumentException("step times must not be negative, the base above 0");
        }
        if (prefillTokensPerStep < 1 || maxBatch < 1 || maxWaiting < 0 || cacheBlocks < 0) {
            throw new IllegalArgumentException("batch and prefill bounds must be at least 1");
        }
    }

    /** Returns a step of 3 ms and more, 32 sequences at once, and room for 4096 cached blocks. */
    public static EngineTiming defaults() {
        return new EngineTiming(3.0, 0.05, 0.02, 2_048, 32, 256, 4_096);
    }

    /** Returns the length of a step in milliseconds. */
    public double stepMs(int decoding, int prefillTokens) {
        return stepBaseMs + stepPerSequenceMs * decoding + prefillPerTokenMs * prefillTokens;
    }
}
