package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.TreeMap;

/** Guards against grants above what each copy of the store states. */
class GrantCeilingsTest {
    private static final String ORGANISATION = "org";
    private static final long PREPAID = 1_000;

    private final KnownRecords mRecords = new KnownRecords();
    private final GrantCeilings mCeilings = new GrantCeilings();

    private void read(long nowMs, long era, long granted, long ceiling) {
        TreeMap<String, EscrowRecord.Organisation> organisations = new TreeMap<>();
        organisations.put(
                ORGANISATION,
                new EscrowRecord.Organisation(granted, 0, new TreeMap<>(), List.of())
                        .withCeilings(ceiling, granted));
        EscrowRecord record = new EscrowRecord(organisations, era);
        mRecords.onRead(record, StoreVersion.of(mRecords.era(), nowMs));
        mCeilings.advanceTo(nowMs);
        mCeilings.onInStore(record, mRecords.era());
    }

    private long usable() {
        return mCeilings.usable(ORGANISATION, mRecords, PREPAID);
    }

    private void beginEra(long era) {
        mCeilings.onEra();
        mRecords.beginEra(era, false);
    }

    @Test
    void ceilingThatACopyMayLack_isNotUsed() {
        beginEra(1);
        read(10, 1, 100, 600);
        mCeilings.advanceTo(9 + GrantCeilings.MAX_COPY_AGE_MS);
        assertThat(usable()).isEqualTo(100);
        mCeilings.advanceTo(10 + GrantCeilings.MAX_COPY_AGE_MS);
        assertThat(usable()).isEqualTo(600);
    }

    @Test
    void ceilingSeenBeforeARestoration_isNotUsed() {
        beginEra(1);
        read(10, 1, 100, 600);
        beginEra(2);
        read(1_000, 2, 100, 600);
        mCeilings.advanceTo(10 + GrantCeilings.MAX_COPY_AGE_MS);
        assertThat(usable()).isEqualTo(100);
    }

    @Test
    void recordOfAFormerEra_mayLackAllTokensUpToItsCeiling() {
        beginEra(2);
        read(10, 1, 100, 600);
        assertThat(mCeilings.unknownGrants(ORGANISATION, mRecords, PREPAID)).isEqualTo(500);
    }

    @Test
    void organisationThatARestoredRecordLacks_mayHaveBeenGrantedItsFirstTokens() {
        beginEra(2);
        read(10, 2, 100, 600);
        assertThat(mCeilings.unknownGrants("another", mRecords, PREPAID)).isEqualTo(500);
        mCeilings.advanceTo(10 + GrantCeilings.MAX_COPY_AGE_MS);
        assertThat(mCeilings.unknownGrants("another", mRecords, PREPAID)).isZero();
    }

    @Test
    void fastDemand_raisesTheCeilingFurther() {
        beginEra(1);
        read(10, 1, 100, 500);
        read(2_000, 1, 400, 500);
        EscrowRecord.Organisation stored = mRecords.inStore().organisation(ORGANISATION);
        assertThat(mCeilings.next(ORGANISATION, stored, 400, PREPAID)).isEqualTo(1_000);
    }
}
