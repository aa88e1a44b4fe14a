package org.hornbeampass.coordination.service;

/**
 * The priority of a request in an engine's queue by the number of prompt tokens that the engine has
 * to read (prefill): the shortest prompts come first.
 *
 * <p>A short prompt that waits behind long ones misses its objective although it needs only a
 * fraction of their time, while running it first delays them little. This matters most while
 * engines read many prompts for the first time, short and long ones mixed: on two such days, late
 * requests in the first six seconds fell from 32 to 26 and from 43 to 31 (one run each on the same
 * seeds; a change of the budgets, which refused nobody then, was made at the same time).
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum PrefillUrgency {
    /** Read in about 35 ms at 60 tokens a millisecond; objectives are 400 ms and more. */
    SHORT(2_000, 2),
    /** Read in about 100 ms; a few of them fit into an objective. */
    MEDIUM(6_000, 4),
    /** Read in about 250 ms, about half of an objective. */
    LONG(15_000, 6),
    /** Takes most of an objective by itself, so that shorter prompts before it add little. */
    HUGE(Long.MAX_VALUE, 8);

    private final long mMaxTokens;
    private final int mRank;

    PrefillUrgency(long maxTokens, int rank) {
        mMaxTokens = maxTokens;
        mRank = rank;
    }

    /**
     * Returns the urgency of a request.
     *
     * @param tokensToRead the prompt tokens that its upstream has to read
     */
    public static PrefillUrgency of(long tokensToRead) {
        for (PrefillUrgency each : values()) {
            if (tokensToRead <= each.mMaxTokens) {
                return each;
            }
        }
        return HUGE;
    }

    /** Returns the rank, from 0 (served first) to 9 (served last). */
    public int rank() {
        return mRank;
    }
}
