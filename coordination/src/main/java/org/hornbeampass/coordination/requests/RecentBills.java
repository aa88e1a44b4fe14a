package org.hornbeampass.coordination.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Remembers the ids of recently billed requests and attempts, grouped into generations that expire
 * as a whole.
 *
 * <p>Invariants: only the open generation changes; a closed one expires once {@code retentionMs} of
 * active time have passed since it was closed; where an id is in more than one generation, its
 * newest value and amount apply. A value holds a 56-bit tag in the upper bits and a count in the
 * lowest 8; it is never 0. Not thread-safe; guarded by the ledger's lock.
 */
final class RecentBills {
    private final Deque<Generation> mClosed = new ArrayDeque<>();
    private Generation mOpen;

    /**
     * The value and amount stored for one id.
     *
     * @param value a tag in the upper 56 bits and a count in the lowest 8; never 0
     * @param amount the amount in tokens
     */
    record Entry(long value, long amount) {}

    /** The ids billed within one interval of active time. */
    static final class Generation {
        private final long mNumber;
        private final IdTable mIds = new IdTable();

        Generation(long number) {
            mNumber = number;
        }

        long number() {
            return mNumber;
        }

        int size() {
            return mIds.size();
        }

        void put(RequestFingerprint id, Entry entry) {
            mIds.put(id, entry);
        }

        /** Calls the visitor with every id and its entry, in no particular order. */
        void forEach(Visitor visitor) {
            mIds.forEach(visitor);
        }
    }

    /** Receives the remembered ids one by one. */
    @FunctionalInterface
    interface Visitor {
        /** Receives an id and its entry. */
        void visit(RequestFingerprint id, Entry entry);
    }

    RecentBills(long openNumber) {
        mOpen = new Generation(openNumber);
    }

    /** Returns the newest entry of an id, if the id is remembered. */
    Optional<Entry> find(RequestFingerprint id) {
        Optional<Entry> entry = mOpen.mIds.get(id);
        Iterator<Generation> newestFirst = mClosed.descendingIterator();
        while (entry.isEmpty() && newestFirst.hasNext()) {
            entry = newestFirst.next().mIds.get(id);
        }
        return entry;
    }

    /** Stores the value and amount of an id in the open generation. */
    void put(RequestFingerprint id, long value, long amount) {
        mOpen.put(id, new Entry(value, amount));
    }

    /**
     * Opens the generation of the given number if it is later than the open one: closes that one
     * and drops the expired ones. Returns whether a generation was opened.
     */
    boolean openGeneration(long number) {
        if (number <= mOpen.number()) {
            return false;
        }
        mOpen.mIds.trim();
        mClosed.addLast(mOpen);
        mOpen = new Generation(number);
        while (!mClosed.isEmpty()
                && mClosed.peekFirst().number() < number - Retention.GENERATIONS) {
            mClosed.removeFirst();
        }
        return true;
    }

    /** Adds a closed generation from a checkpoint; called in ascending order of the numbers. */
    void addClosed(Generation generation) {
        mClosed.addLast(generation);
    }

    /** Trims the tables of the closed generations, once all of them have been read. */
    void trimClosed() {
        mClosed.forEach(generation -> generation.mIds.trim());
    }

    /** Returns the closed generations, oldest first. */
    Iterable<Generation> closedGenerations() {
        return mClosed;
    }

    /** Returns the number of the open generation. */
    long openNumber() {
        return mOpen.number();
    }

    /** Returns how many ids are remembered. */
    long size() {
        return mOpen.size() + mClosed.stream().mapToLong(Generation::size).sum();
    }
}
