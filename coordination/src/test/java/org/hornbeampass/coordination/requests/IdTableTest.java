package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hornbeampass.coordination.requests.RecentBills.Entry;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Tests {@link IdTable}. */
class IdTableTest {
    private final IdTable mTable = new IdTable();
    private final Map<RequestFingerprint, Entry> mExpected = new HashMap<>();

    @Test
    void ids_areFound_beforeAndAfterTrimming() {
        SplittableRandom random = new SplittableRandom(4711);
        for (int i = 0; i < 10_000; i++) {
            put(new RequestFingerprint(random.nextLong(), random.nextLong()), i + 1);
        }
        check();
        mTable.trim();
        check();
    }

    @Test
    void idsWithEqualUpperBits_areDistinguished_alsoWhereProbingWrapsAround() {
        for (long low = 0; low < 100; low++) {
            put(new RequestFingerprint(-1, low), low + 1);
        }
        check();
        mTable.trim();
        check();
    }

    @Test
    void laterEntry_replacesTheEarlierOne() {
        put(new RequestFingerprint(1, 2), 3);
        put(new RequestFingerprint(1, 2), 4);

        check();
    }

    @Test
    void emptyTable_canBeTrimmed_andSearched() {
        mTable.trim();

        assertThat(mTable.get(new RequestFingerprint(0, 0))).isEmpty();
    }

    @Test
    void valueThatMarksAFreeRow_isRejected() {
        assertThatThrownBy(() -> mTable.put(new RequestFingerprint(1, 2), new Entry(0, 1)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private void put(RequestFingerprint id, long value) {
        Entry entry = new Entry(value, -value);
        mTable.put(id, entry);
        mExpected.put(id, entry);
    }

    private void check() {
        Map<RequestFingerprint, Entry> found = new HashMap<>();
        mTable.forEach(found::put);
        assertThat(found).isEqualTo(mExpected);
        assertThat(mTable.size()).isEqualTo(mExpected.size());
        mExpected.forEach((id, entry) -> assertThat(mTable.get(id)).contains(entry));
        assertThat(mTable.get(new RequestFingerprint(7, 7))).isEmpty();
    }
}
