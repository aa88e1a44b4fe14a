package org.hornbeampass.coordination.requests;

import java.util.SplittableRandom;

/**
 * One step of a random schedule.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the kind of step
 * @param vm the index of the VM
 * @param id the number of the request, or of the other VM
 * @param waitMs how long time advances after the step, in milliseconds
 */
record LedgerStep(Kind kind, int vm, int id, int waitMs) {
    static final int VMS = 4;
    static final int IDS = 6;
    static final int MAX_WAIT_MS = 6_000;

    /** The kinds of steps. */
    enum Kind {
        BILL,
        BILL_AGAIN,
        CLAIM,
        CLAIM_OTHER_BODY,
        RECORD,
        GIVE_UP,
        PAUSE,
        RESUME,
        RESTART,
        CUT_PLATFORM,
        HEAL_PLATFORM,
        CUT_PEERS,
        HEAL_PEERS,
        OUTAGE,
        OUTAGE_ENDS,
        LOSE,
        LOSE_NOTHING,
        SLOW,
        FAST,
        SPLIT_VIEW,
        SAME_VIEW,
        WAIT
    }

    /** Returns a random step; half of all steps bill or claim, the others are of any kind. */
    static LedgerStep random(SplittableRandom random) {
        Kind[] kinds = Kind.values();
        Kind kind =
                random.nextBoolean()
                        ? (random.nextBoolean() ? Kind.BILL : Kind.CLAIM)
                        : kinds[random.nextInt(kinds.length)];
        return new LedgerStep(
                kind, random.nextInt(VMS), random.nextInt(IDS), random.nextInt(MAX_WAIT_MS));
    }
}
