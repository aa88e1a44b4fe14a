package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.requests.RecentBills.Entry;

import java.util.Optional;

/**
 * A hash table from 128-bit fingerprints to entries, stored as rows of four longs in one array.
 *
 * <p>Open addressing with linear probing; the row is derived from the upper bits of the
 * fingerprint, which are uniformly distributed. Invariants: a row whose value is 0 is free; at most
 * four fifths of the rows are in use; rows are never removed. Takes 40 bytes per id once trimmed,
 * 40 to 80 before. Not thread-safe; guarded by the ledger's lock until it is trimmed, after which
 * it does not change.
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

    /** Returns the entry of an id, if there is one. */
    Optional<Entry> get(RequestFingerprint id) {
        int row = rowOf(id.high(), id.low());
        return mRows[row + VALUE_OFFSET] == 0
                ? Optional.empty()
                : Optional.of(new Entry(mRows[row + VALUE_OFFSET], mRows[row + AMOUNT_OFFSET]));
    }

    /** Sets the entry of an id; a value of 0 is rejected, since it marks a free row. */
    void put(RequestFingerprint id, Entry entry) {
        if (entry.value() == 0) {
            throw new IllegalArgumentException("value must not be 0, which marks a free row");
        }
        if ((long) (mSize + 1) * FIFTHS > (long) capacity() * MAX_LOAD_FIFTHS) {
            resize(Math.multiplyExact(capacity(), 2));
        }
        set(id.high(), id.low(), entry.value(), entry.amount());
    }

    /** Shrinks the array to the rows in use; called once no more ids are added. */
    void trim() {
        int minCapacity = (int) ((long) mSize * FIFTHS / MAX_LOAD_FIFTHS) + 1;
        if (minCapacity < capacity()) {
            resize(minCapacity);
        }
    }

    /** Calls the visitor with every id and its entry, in no particular order. */
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

    /**
     * Returns the index at which the row of an id starts, or the free row where the id would be
     * added.
     */
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
