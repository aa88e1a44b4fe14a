package org.hornbeampass.standin.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RecordTable}. */
class RecordTableTest {
    private final RecordTable mRecords = new RecordTable();

    @Test
    void append_ofSameKeyTwice_executesTwiceAndShowsTheDouble() {
        mRecords.append("k1", "q1", "a1", "release mould 7");
        mRecords.append("k1", "q1", "a2", "release mould 7");
        mRecords.append("k2", "q2", "a3", "release mould 8");

        RecordTable.Verdict verdict = mRecords.verdict();
        assertThat(verdict.executed()).isEqualTo(3);
        assertThat(verdict.doubledKeys()).containsExactly(entry("k1", 2));
        assertThat(verdict.doubledBodies()).containsExactly(entry("release mould 7", 2));
        assertThat(mRecords.executions("k1")).isEqualTo(2);
    }

    @Test
    void append_withoutKey_isSeenByItsBody() {
        mRecords.append("", "", "", "same");
        mRecords.append("", "", "", "same");

        assertThat(mRecords.verdict().doubledKeys()).isEmpty();
        assertThat(mRecords.verdict().doubledBodies()).containsExactly(entry("same", 2));
    }

    @Test
    void get_ofId_givesThatRecordOnly() {
        long id = mRecords.append("k1", "q1", "a1", "body").id();

        assertThat(mRecords.get(id).orElseThrow().body()).isEqualTo("body");
        assertThat(mRecords.get(id + 1)).isEmpty();
        assertThat(mRecords.get(0)).isEmpty();
    }

    private static java.util.Map.Entry<String, Integer> entry(String key, int count) {
        return java.util.Map.entry(key, count);
    }
}
