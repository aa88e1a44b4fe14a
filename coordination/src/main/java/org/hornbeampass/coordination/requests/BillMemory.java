package org.hornbeampass.coordination.requests;

import org.agrona.collections.Long2LongHashMap;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The ids of bills that a shard remembers, in generations that are forgotten whole.
 *
 * <p>Invariants: only the open generation changes; a closed one is forgotten once {@code
 * rememberMs} of active time have passed since it was closed; an id in more than one generation has
 * its newest value. A value is an attempt's mark in the upper 56 bits and a count in the lowest 8;
 * it is never 0. Not thread-safe; the ledger's lock guards it.
 */
final class BillMemory {
    private static final long NONE = 0;

    private final Deque<Generation> mClosed = new ArrayDeque<>();
    private Generation mOpen;

    /** The ids billed within one stretch of active time. */
    static final class Generation {
        private final long mNumber;
        private final Long2LongHashMap mLow = new Long2LongHashMap(NONE);
        private final Long2LongHashMap mValues = new Long2LongHashMap(NONE);
        private final Map<RequestFingerprint, Long> mCollided = new HashMap<>();

        Generation(long number) {
            mNumber = number;
        }

        long number() {
            return mNumber;
        }

        int size() {
            return mValues.size() + mCollided.size();
        }

        long get(RequestFingerprint id) {
            long value = mValues.get(id.high());
            if (value == NONE) {
                return NONE;
            }
            return mLow.get(id.high()) == id.low() ? value : mCollided.getOrDefault(id, NONE);
        }

        void put(RequestFingerprint id, long value) {
            boolean taken = mValues.get(id.high()) != NONE && mLow.get(id.high()) != id.low();
            if (taken) {
                mCollided.put(id, value);
                return;
            }
            mLow.put(id.high(), id.low());
            mValues.put(id.high(), value);
        }

        /** Hands every id and value to a visitor, in no order. */
        void forEach(Visitor visitor) {
            Long2LongHashMap.EntryIterator each = mValues.entrySet().iterator();
            while (each.hasNext()) {
                each.next();
                long high = each.getLongKey();
                visitor.visit(new RequestFingerprint(high, mLow.get(high)), each.getLongValue());
            }
            mCollided.forEach(visitor::visit);
        }
    }

    /** Takes one remembered id. */
    @FunctionalInterface
    interface Visitor {
        /** Takes an id and its value. */
        void visit(RequestFingerprint id, long value);
    }

    BillMemory(long openNumber) {
        mOpen = new Generation(openNumber);
    }

    /** Returns the value of an id, if it is remembered. */
    OptionalLong find(RequestFingerprint id) {
        long value = mOpen.get(id);
        Iterator<Generation> newestFirst = mClosed.descendingIterator();
        while (value == NONE && newestFirst.hasNext()) {
            value = newestFirst.next().get(id);
        }
        return value == NONE ? OptionalLong.empty() : OptionalLong.of(value);
    }

    /** Remembers an id's value, from now on. */
    void put(RequestFingerprint id, long value) {
        mOpen.put(id, value);
    }

    /** Closes the open generation where a later one has begun; forgets the old ones. */
    boolean advanceTo(long number) {
        if (number <= mOpen.number()) {
            return false;
        }
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

    /** Returns the closed generations, the oldest first. */
    Iterable<Generation> closed() {
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
