package org.hornbeampass.state.budget;

/**
 * A holder's entry in the platform's record of a budget, in tokens.
 *
 * <p>Invariant: only {@code granted - returned} limits spending; the other fields show where the
 * tokens went. Each entry is written only by its holder, except {@code movedOut}, which the
 * receiver updates together with its own {@code movedIn}. Immutable and thread-safe.
 *
 * @param granted the tokens drawn from the platform since the holder was opened
 * @param returned the tokens returned to the platform
 * @param spent the settled tokens
 * @param movedIn the tokens received that are charged to other holders
 * @param movedOut the tokens whose charge other holders took over
 * @param reserved the tokens reserved for requests in progress at the last report
 * @param free the tokens neither spent nor reserved at the last report
 * @param lost the tokens lent to VMs that are known to be gone, at the last report
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
    /** The entry of a holder without tokens. */
    public static final HolderRecord NONE = new HolderRecord(0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns the tokens drawn and not returned; they count against the paid tokens. */
    public long drawn() {
        return granted - returned;
    }

    /** Returns the tokens charged to the holder and not settled. */
    public long outstanding() {
        return granted + movedIn - movedOut - returned - spent;
    }

    /** Returns the entry with further tokens taken over by another holder. */
    public HolderRecord withMovedOut(long tokens) {
        return new HolderRecord(
                granted, returned, spent, movedIn, movedOut + tokens, reserved, free, lost);
    }

    /**
     * Returns the sum of this entry and that of a holder that is being closed. The reserved, free
     * and lost tokens of its last report are discarded.
     */
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
