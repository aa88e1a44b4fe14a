package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.requests.RecentBills.Entry;

import java.util.Optional;

/**
 * A hash table from 128-bit fingerprints to entries, four longs a row in one array.
 *
 * <p>Open addressing with linear probing; the place of a row follows from the fingerprint's upper
 * bits, which are as good as random. Invariants: a row whose value is 0 is free; at most four
 * fifths of the rows are taken; rows are never removed. Takes 40 bytes an id once trimmed, 40 to 80
 * before. Not thread-safe; the ledger's lock guards it until it is trimmed, after which it does not
 * change.
 */
final class IdTable {
    private static final int ROW_LONGS = 4;
    private static final int LOW_OFFSET = 1;
    private static final int VALUE_OFFSET = 2;
    private static final int AMOUNT_OFFSET = 3;
    private static final int INITIAL_CAPACITY = 16;
    private static final int MAX_LOAD_FIFTHS = 4;
    private static final int FIFTHS = 5;

    private long[] mRows = new long[INITIAL_CAPACITY * ROW_LONGS];
    private int mSize;

    int size() {
        return mSize;
    }

    /** Returns an id's entry, if there is one. */
    Optional<Entry> get(RequestFingerprint id) {
        int row = rowOf(id.high(), id.low());
        return mRows[row + VALUE_OFFSET] == 0
                ? Optional.empty()
                : Optional.of(new Entry(mRows[row + VALUE_OFFSET], mRows[row + AMOUNT_OFFSET]));
    }

    /** Sets an id's entry. */
    void put(RequestFingerprint id, Entry entry) {
        if (entry.value() == 0) {
            throw new IllegalArgumentException("a value of 0 marks a free row");
        }
        if ((long) (mSize + 1) * FIFTHS > (long) capacity() * MAX_LOAD_FIFTHS) {
            resize(Math.multiplyExact(capacity(), 2));
        }
        set(id.high(), id.low(), entry.value(), entry.amount());
    }

    /** Gives back the room that no row needs; called once nothing is added any more. */
    void trim() {
        int least = (int) ((long) mSize * FIFTHS / MAX_LOAD_FIFTHS) + 1;
        if (least < capacity()) {
            resize(least);
        }
    }

    /** Hands every id and entry to a visitor, in no order. */
    void forEach(RecentBills.Visitor visitor) {
        for (int row = 0; row < mRows.length; row += ROW_LONGS) {
            if (mRows[row + VALUE_OFFSET] != 0) {
                visitor.visit(
                        new RequestFingerprint(mRows[row], mRows[row + LOW_OFFSET]),
                        new Entry(mRows[row + VALUE_OFFSET], mRows[row + AMOUNT_OFFSET]));
            }
        }
    }

    private int capacity() {
        return mRows.length / ROW_LONGS;
    }

    private void resize(int capacity) {
        long[] old = mRows;
        mRows = new long[Math.multiplyExact(capacity, ROW_LONGS)];
        mSize = 0;
        for (int row = 0; row < old.length; row += ROW_LONGS) {
            if (old[row + VALUE_OFFSET] != 0) {
                set(
                        old[row],
                        old[row + LOW_OFFSET],
                        old[row + VALUE_OFFSET],
                        old[row + AMOUNT_OFFSET]);
            }
        }
    }

    private void set(long high, long low, long value, long amount) {
        int row = rowOf(high, low);
        if (mRows[row + VALUE_OFFSET] == 0) {
            mSize++;
        }
        mRows[row] = high;
        mRows[row + LOW_OFFSET] = low;
        mRows[row + VALUE_OFFSET] = value;
        mRows[row + AMOUNT_OFFSET] = amount;
    }

    /** Returns where an id's row starts, or the free row where it would be put. */
    private int rowOf(long high, long low) {
        int row = (int) (((high >>> Integer.SIZE) * capacity()) >>> Integer.SIZE) * ROW_LONGS;
        while (mRows[row + VALUE_OFFSET] != 0
                && (mRows[row] != high || mRows[row + LOW_OFFSET] != low)) {
            row += ROW_LONGS;
            if (row == mRows.length) {
                row = 0;
            }
        }
        return row;
    }
}
