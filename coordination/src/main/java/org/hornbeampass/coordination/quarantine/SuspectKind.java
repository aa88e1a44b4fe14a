package org.hornbeampass.coordination.quarantine;

/**
 * What the crashes of upstreams can be attributed to.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum SuspectKind {
    /** One request, whose repetitions have the same content. */
    REQUEST(3, 1, 2),
    /**
     * A part of prompts that different requests share. More crashes are required than for a
     * request, since a common part is in flight at most upstreams at any time.
     */
    PROMPT_PART(5, 3, 1);

    private final int mCrashesToQuarantine;
    private final int mCrashesToStopRetries;
    private final int mMaxTrials;

    SuspectKind(int crashesToQuarantine, int crashesToStopRetries, int maxTrials) {
        mCrashesToQuarantine = crashesToQuarantine;
        mCrashesToStopRetries = crashesToStopRetries;
        mMaxTrials = maxTrials;
    }

    /** Returns how many upstreams must crash before a quarantine. */
    int crashesToQuarantine() {
        return mCrashesToQuarantine;
    }

    /** Returns after how many crashes a request is not sent to another upstream after a loss. */
    int crashesToStopRetries() {
        return mCrashesToStopRetries;
    }

    /**
     * Returns how many trials are allowed; the first one of a request may end without an answer.
     */
    int maxTrials() {
        return mMaxTrials;
    }
}
