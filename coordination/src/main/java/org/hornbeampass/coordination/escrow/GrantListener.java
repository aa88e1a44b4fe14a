package org.hornbeampass.coordination.escrow;

/**
 * Hears of each change of what this VM holds, for logs.
 *
 * <p>Called on the book's thread.
 */
public interface GrantListener {
    /** Hears nothing. */
    GrantListener NONE =
            new GrantListener() {
                @Override
                public void onGrant(long nowMs, String organisation, Change change) {}

                @Override
                public void onLoan(long nowMs, String organisation, long tokens) {}
            };

    /**
     * A grant was taken, or some of it returned.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param change what changed
     */
    void onGrant(long nowMs, String organisation, Change change);

    /**
     * Tokens were borrowed from another VM.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param tokens how many
     */
    void onLoan(long nowMs, String organisation, long tokens);

    /**
     * A change of a grant, in tokens.
     *
     * @param before what was granted before
     * @param after what is granted now
     * @param free what of it can be reserved
     * @param unallocated what of the budget nobody holds
     * @param unspent what of the budget nobody has reported spent
     */
    record Change(long before, long after, long free, long unallocated, long unspent) {}
}
