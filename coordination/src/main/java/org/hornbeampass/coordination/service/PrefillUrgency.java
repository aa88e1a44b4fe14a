package org.hornbeampass.coordination.service;

/**
 * How soon an engine should take up a request, by how much it has to read for it: shortest first.
 *
 * <p>A short prompt that waits behind long ones is late for a fraction of their time, while they
 * lose little by it. It answers the load of engines that read many prompts for the first time: on
 * two days with short and long prompts mixed, requests late in the first six seconds fell from 32
 * to 26 and from 43 to 31 (one run each, on the same seeds; budgets, which refused nobody then,
 * were changed at the same time).
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum PrefillUrgency {
    /** Read in some 35 ms, at about 60 tokens a millisecond; objectives are 400 ms and more. */
    SHORT(2_000, 2),
    /** Read in some 100 ms: a few of them fit into an objective. */
    MEDIUM(6_000, 4),
    /** Read in some 250 ms: about half of an objective. */
    LONG(15_000, 6),
    /** Takes most of an objective by itself; anything before it that is short costs it little. */
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

    /** Returns its rank, from 0 for the first to 9 for the last. */
    public int rank() {
        return mRank;
    }
}
