package org.hornbeampass.coordination.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The ids of bills that a shard remembers, in generations that are forgotten whole.
 *
 * <p>Invariants: only the open generation changes; a closed one is forgotten once {@code
 * rememberMs} of active time have passed since it was closed; an id in more than one generation has
 * its newest value and amount. A value is an attempt's mark in the upper 56 bits and a count in the
 * lowest 8; it is never 0. Not thread-safe; the ledger's lock guards it.
 */
final class RecentBills {
    private final Deque<Generation> mClosed = new ArrayDeque<>();
    private Generation mOpen;

    /**
     * What is remembered of one id.
     *
     * @param value a mark in the upper 56 bits and a count in the lowest 8; never 0
     * @param amount tokens
     */
    record Entry(long value, long amount) {}

    /** The ids billed within one stretch of active time. */
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

        /** Hands every id and entry to a visitor, in no order. */
        void forEach(Visitor visitor) {
            mIds.forEach(visitor);
        }
    }

    /** Takes one remembered id. */
    @FunctionalInterface
    interface Visitor {
        /** Takes an id and its entry. */
        void visit(RequestFingerprint id, Entry entry);
    }

    RecentBills(long openNumber) {
        mOpen = new Generation(openNumber);
    }

    /** Returns the entry of an id, if it is remembered. */
    Optional<Entry> find(RequestFingerprint id) {
        Optional<Entry> entry = mOpen.mIds.get(id);
        Iterator<Generation> newestFirst = mClosed.descendingIterator();
        while (entry.isEmpty() && newestFirst.hasNext()) {
            entry = newestFirst.next().mIds.get(id);
        }
        return entry;
    }

    /** Remembers an id's value and amount, from now on. */
    void put(RequestFingerprint id, long value, long amount) {
        mOpen.put(id, new Entry(value, amount));
    }

    /** Closes the open generation where a later one has begun; forgets the old ones. */
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

    /** Takes in a closed generation from a checkpoint; called in the order of their numbers. */
    void addClosed(Generation generation) {
        mClosed.addLast(generation);
    }

    /** Gives back the room that the closed generations don't need, once all are read. */
    void trimClosed() {
        mClosed.forEach(generation -> generation.mIds.trim());
    }

    /** Returns the closed generations, the oldest first. */
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
