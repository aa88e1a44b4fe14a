package org.hornbeampass.state.budget;

/**
 * One holder's entry in the platform's record of a budget, in tokens.
 *
 * <p>Invariant: only {@code granted - returned} bounds spending; the other parts say where the
 * tokens went. Each entry is written by its holder alone, except {@code movedOut}, which the
 * receiver writes together with its own {@code movedIn}. Immutable; safe for use by any thread.
 *
 * @param granted drawn from the platform since the holder was opened
 * @param returned given back to the platform
 * @param spent settled
 * @param movedIn received from other holders' charge
 * @param movedOut taken over by other holders
 * @param reserved set aside for requests in progress, at the last report
 * @param free neither spent nor reserved, at the last report
 * @param lost lent to VMs that are proved gone, at the last report
 */
public record HolderRecord(
        long granted,
        long returned,
        long spent,
        long movedIn,
        long movedOut,
        long reserved,
        long free,
        long lost) {
    /** The entry of a holder that has nothing yet. */
    public static final HolderRecord NONE = new HolderRecord(0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns what counts against the paid tokens. */
    public long drawn() {
        return granted - returned;
    }

    /** Returns what is charged to the holder and not settled. */
    public long outstanding() {
        return granted + movedIn - movedOut - returned - spent;
    }

    /** Returns the entry with more taken over by another holder. */
    public HolderRecord withMovedOut(long tokens) {
        return new HolderRecord(
                granted, returned, spent, movedIn, movedOut + tokens, reserved, free, lost);
    }

    /** Returns the sum with a holder that is being closed; what it held last is forgotten. */
    public HolderRecord plusClosed(HolderRecord closing) {
        return new HolderRecord(
                granted + closing.granted,
                returned + closing.returned,
                spent + closing.spent,
                movedIn + closing.movedIn,
                movedOut + closing.movedOut,
                0,
                0,
                0);
    }
}
