package org.hornbeampass.coordination.escrow;

/**
 * Receives each change of the tokens that this VM holds, for logs.
 *
 * <p>Called on the thread of the {@link EscrowBook}.
 */
public interface GrantListener {
    /** Ignores all changes. */
    GrantListener NONE =
            new GrantListener() {
                @Override
                public void onGrant(long nowMs, String organisation, Change change) {}

                @Override
                public void onLoan(long nowMs, String organisation, long tokens) {}

                @Override
                public void onUnsuccessfulSearch(long nowMs, String organisation, Search search) {}
            };

    /**
     * Called when this VM's grant has grown or shrunk.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param change the change of the grant
     */
    void onGrant(long nowMs, String organisation, Change change);

    /**
     * Called when tokens were borrowed from another VM.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param tokens the tokens borrowed
     */
    void onLoan(long nowMs, String organisation, long tokens);

    /**
     * Called when other VMs did not lend all the tokens that requests waited for.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param search how the search went
     */
    void onUnsuccessfulSearch(long nowMs, String organisation, Search search);

    /**
     * Called when no tokens are granted for a while, since the store was restored.
     *
     * @param nowMs the current time in milliseconds
     * @param pool the number of the pool
     * @param formerEra the era of the last record that is known
     * @param era the store's present era
     */
    default void onGrantsSuspended(long nowMs, int pool, long formerEra, long era) {}

    /**
     * Called when this VM has written the grants that the restored store may have forgotten.
     *
     * @param nowMs the current time in milliseconds
     * @param pool the number of the pool
     * @param era the store's present era
     */
    default void onGrantsWrittenAgain(long nowMs, int pool, long era) {}

    /**
     * Called when tokens count as granted that may have been granted before the store was restored,
     * since no VM knows whether they were.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param tokens the tokens
     * @param era the store's present era
     */
    default void onTokensWrittenOff(long nowMs, String organisation, long tokens, long era) {}

    /**
     * A search for tokens at other VMs.
     *
     * @param tookMs how long it took, in milliseconds
     * @param askedVms the number of VMs that were asked
     * @param unresponsiveVms the number of those that did not reply in time
     * @param missing the tokens that requests still lack
     */
    record Search(long tookMs, int askedVms, int unresponsiveVms, long missing) {}

    /**
     * A change of a grant, in tokens.
     *
     * @param before the grant before the change
     * @param after the grant after the change
     * @param free the tokens that requests can reserve here now
     * @param unallocated the tokens of the budget that are not granted to any VM
     * @param unspent the tokens of the budget that no VM has reported as spent
     */
    record Change(long before, long after, long free, long unallocated, long unspent) {}
}
