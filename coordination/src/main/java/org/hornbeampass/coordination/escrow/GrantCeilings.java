package org.hornbeampass.coordination.escrow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides up to which ceiling tokens may be granted, so that a copy from which the store is
 * restored bounds the grants that it lacks.
 *
 * <p>A record states a ceiling for each organisation. Tokens are granted up to a ceiling only once
 * the store has had it for as long as a copy may be old; then each copy that may still be restored
 * states at least that ceiling. Where nobody knows what was granted after the copy, all tokens up
 * to its ceiling count as granted. Invariants: a ceiling never falls; a time counts only from a
 * read or write of this VM in the present era. Not thread-safe; must be used on one thread.
 */
final class GrantCeilings {
    /** The greatest age of a copy from which the store is restored, in milliseconds. */
    static final long MAX_COPY_AGE_MS = 8_000;

    /** The era of a store that was never restored. */
    static final long FIRST_ERA = 1;

    /**
     * A new budget divided by this number may be granted before any ceiling is in force. It serves
     * the demand of the first seconds, which is not known yet.
     */
    private static final long INITIAL_DIVISOR = 2;

    /** A ceiling exceeds the granted tokens by at least the budget divided by this number. */
    private static final long MIN_RESERVE_DIVISOR = 8;

    /**
     * How many times the tokens granted recently a ceiling exceeds the granted ones: until the next
     * ceiling is in force, as many may be granted again, and demand may grow.
     */
    private static final long RECENT_GRANTS_FACTOR = 2;

    /** The interval at which granted tokens are sampled, in milliseconds. */
    private static final long SAMPLE_INTERVAL_MS = 1_000;

    /** A ceiling is raised once less than this part of the reserve above the grants is left. */
    private static final double RENEWAL_FRACTION = 0.75;

    /** The ceiling that the store was seen to have at a time, and the tokens granted then. */
    private record Seen(long atMs, long ceiling, long granted) {}

    private final Map<String, Deque<Seen>> mSeen = new HashMap<>();
    private final Map<String, Long> mInForceBefore = new HashMap<>();
    private long mNowMs;
    private long mPresentEraSinceMs = Long.MAX_VALUE;

    /** Sets the current time in milliseconds. */
    void advanceTo(long nowMs) {
        mNowMs = Math.max(mNowMs, nowMs);
        mSeen.values().forEach(this::dropOutdated);
    }

    private void dropOutdated(Deque<Seen> seen) {
        while (seen.size() > 1 && hasAge(second(seen).atMs())) {
            seen.removeFirst();
        }
    }

    private static Seen second(Deque<Seen> seen) {
        return seen.stream().skip(1).findFirst().orElseThrow();
    }

    private boolean hasAge(long atMs) {
        return mNowMs - MAX_COPY_AGE_MS >= atMs;
    }

    /**
     * Handles that the store was restored: it may have lost any ceiling that was not in force yet.
     */
    void onEra() {
        mSeen.forEach((name, seen) -> mInForceBefore.merge(name, inForce(seen), Math::max));
        mSeen.clear();
        mPresentEraSinceMs = Long.MAX_VALUE;
    }

    /**
     * Records that the store has a record now.
     *
     * @param record the record that was just read or written
     * @param era the store's present era
     */
    void onInStore(EscrowRecord record, long era) {
        if (record.era() == era) {
            mPresentEraSinceMs = Math.min(mPresentEraSinceMs, mNowMs);
        }
        record.organisations().forEach(this::onInStore);
    }

    private void onInStore(String organisation, EscrowRecord.Organisation stored) {
        Deque<Seen> seen = mSeen.computeIfAbsent(organisation, o -> new ArrayDeque<>());
        boolean due =
                seen.isEmpty()
                        || stored.ceiling() > seen.getLast().ceiling()
                        || mNowMs - seen.getLast().atMs() >= SAMPLE_INTERVAL_MS;
        if (due) {
            seen.add(new Seen(mNowMs, stored.ceiling(), stored.granted()));
        }
    }

    /**
     * Returns whether an organisation that the record lacks was never granted any tokens: the store
     * was never restored, or operators have had time to write again what it forgot.
     */
    boolean isComplete(KnownRecords records) {
        if (records.era() <= FIRST_ERA) {
            return true;
        }
        if (records.isOfFormerEra()) {
            return records.isWitnessed();
        }
        return records.known().completeEra() == records.era()
                || (mPresentEraSinceMs <= mNowMs && hasAge(mPresentEraSinceMs));
    }

    /** Returns the total of the tokens of an organisation that may be granted now. */
    long usable(String organisation, KnownRecords records, long prepaid) {
        EscrowRecord.Organisation stored = records.known().organisation(organisation);
        if (stored.ceiling() == 0) {
            return isComplete(records) ? initial(stored, prepaid) : 0;
        }
        Deque<Seen> seen = mSeen.getOrDefault(organisation, new ArrayDeque<>());
        long seenInForce = Math.max(inForce(seen), mInForceBefore.getOrDefault(organisation, 0L));
        return Math.max(stored.ceilingInForce(), seenInForce);
    }

    private long inForce(Deque<Seen> seen) {
        boolean any = !seen.isEmpty() && hasAge(seen.getFirst().atMs());
        return any ? seen.getFirst().ceiling() : 0;
    }

    /** Returns the ceiling of a budget for which the record states none. */
    private static long initial(EscrowRecord.Organisation stored, long prepaid) {
        return Math.max(stored.granted(), prepaid / INITIAL_DIVISOR);
    }

    /**
     * Returns the tokens that may have been granted although the record does not show it.
     *
     * @param organisation the organisation's name
     * @param records the known records
     * @param prepaid the size of the budget
     */
    long unknownGrants(String organisation, KnownRecords records, long prepaid) {
        EscrowRecord.Organisation stored = records.known().organisation(organisation);
        boolean stated = stored.ceiling() > 0;
        if (stated ? !records.mayLackUnknownGrants() : isComplete(records)) {
            return 0;
        }
        long ceiling = stated ? stored.ceiling() : initial(stored, prepaid);
        return Math.max(0, ceiling - stored.granted());
    }

    /** Returns the ceiling to write together with the given total of granted tokens. */
    long next(String organisation, EscrowRecord.Organisation stored, long granted, long prepaid) {
        long ceiling = stored.ceiling() > 0 ? stored.ceiling() : initial(stored, prepaid);
        long recent = recentlyGranted(organisation, granted);
        long reserve = Math.max(prepaid / MIN_RESERVE_DIVISOR, RECENT_GRANTS_FACTOR * recent);
        boolean enough = ceiling - granted >= RENEWAL_FRACTION * reserve;
        return enough ? ceiling : Math.max(ceiling, granted + reserve);
    }

    /** Returns the tokens granted within the age of a copy, as far as known. */
    private long recentlyGranted(String organisation, long granted) {
        Deque<Seen> seen = mSeen.getOrDefault(organisation, new ArrayDeque<>());
        if (seen.isEmpty()) {
            return 0;
        }
        Seen first = seen.getFirst();
        long overMs = Math.max(MAX_COPY_AGE_MS, mNowMs - first.atMs());
        return (granted - first.granted()) * MAX_COPY_AGE_MS / overMs;
    }
}
