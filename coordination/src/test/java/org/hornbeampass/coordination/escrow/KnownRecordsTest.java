package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.TreeMap;

/** Guards against grants that are lost from what a VM knows after the store was restored. */
class KnownRecordsTest {
    private static final String ORGANISATION = "org";

    private final KnownRecords mRecords = new KnownRecords();

    private static EscrowRecord record(long era, String holder, long granted) {
        TreeMap<String, EscrowRecord.Holder> holders = new TreeMap<>();
        holders.put(holder, new EscrowRecord.Holder("vm", granted, 0));
        TreeMap<String, EscrowRecord.Organisation> organisations = new TreeMap<>();
        organisations.put(ORGANISATION, new EscrowRecord.Organisation(0, 0, holders, List.of()));
        return new EscrowRecord(organisations, era);
    }

    private long granted() {
        return mRecords.known().organisation(ORGANISATION).granted();
    }

    @Test
    void recordOfTheFormerEra_countsUntilItIsWrittenAgain() {
        mRecords.beginEra(1, true);
        mRecords.onRead(record(1, "a", 60), StoreVersion.of(1, 9));
        mRecords.beginEra(2, true);
        mRecords.onRead(record(1, "a", 10), StoreVersion.of(2, 3));
        assertThat(granted()).isEqualTo(60);
        mRecords.onWriteSent();
        mRecords.onWritten(record(2, "a", 60), StoreVersion.of(2, 4));
        assertThat(mRecords.hasForgottenGrants()).isFalse();
        assertThat(granted()).isEqualTo(60);
    }

    @Test
    void grantsReportedDuringAWrite_arePartOfTheNextOne() {
        mRecords.beginEra(2, true);
        mRecords.onRead(record(1, "a", 10), StoreVersion.of(2, 3));
        mRecords.onWriteSent();
        mRecords.onReported(record(1, "b", 30), StoreVersion.of(1, 9));
        mRecords.onWritten(record(2, "a", 10), StoreVersion.of(2, 4));
        assertThat(mRecords.hasForgottenGrants()).isTrue();
        assertThat(granted()).isEqualTo(40);
    }

    @Test
    void recordReplacedByAWriterOfTheFormerEra_isStillKnown() {
        mRecords.beginEra(2, true);
        mRecords.onRead(record(2, "a", 60), StoreVersion.of(2, 4));
        mRecords.onRead(record(1, "b", 10), StoreVersion.of(2, 5));
        assertThat(granted()).isEqualTo(70);
    }
}
