package org.hornbeampass.coordination.platform;

/** Receives that the store was restored from an older copy. */
@FunctionalInterface
public interface EraListener {
    /**
     * Called when the store is first known to be in a later era: what was written in the former one
     * may be lost, and its revisions are given out again.
     *
     * @param nowMs the present time in milliseconds
     * @param formerEra the era that was known before
     * @param era the present era
     */
    void onEra(long nowMs, long formerEra, long era);
}
