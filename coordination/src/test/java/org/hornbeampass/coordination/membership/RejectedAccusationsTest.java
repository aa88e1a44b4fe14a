package org.hornbeampass.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Tests {@link RejectedAccusations}. */
class RejectedAccusationsTest {
    private static final long NOW_MS = 10_000;
    private static final MemberDetails DETAILS =
            new MemberDetails(
                    "10.0.0.1:8080", "10.0.0.1:7070", new Region("r0"), new FailureDomain("d0"));

    private final MemberTable mTable =
            new MemberTable(NOW_MS, update("self", 0, Health.LIVE), DETAILS);
    private final RejectedAccusations mRejected = new RejectedAccusations();

    @Test
    void next_withManyAccusations_returnsOnePerIntervalInOrder() {
        for (String name : new String[] {"a", "b"}) {
            mTable.merge(NOW_MS, update(name, 0, Health.LIVE), Optional.empty());
            mRejected.add(update(name, 0, Health.GONE));
        }

        assertThat(next(NOW_MS)).contains("a");
        assertThat(next(NOW_MS + RejectedAccusations.INTERVAL_MS - 1)).isEmpty();
        assertThat(next(NOW_MS + RejectedAccusations.INTERVAL_MS)).contains("b");
    }

    @Test
    void next_withRepeatedAccusationsOfOneVm_returnsOnlyTheLatest() {
        mTable.merge(NOW_MS, update("a", 0, Health.LIVE), Optional.empty());
        mRejected.add(update("a", 0, Health.SUSPECT));
        mRejected.add(update("a", 0, Health.GONE));

        assertThat(mRejected.next(NOW_MS, mTable)).contains(update("a", 0, Health.GONE));
        assertThat(next(NOW_MS + RejectedAccusations.INTERVAL_MS)).isEmpty();
    }

    @Test
    void next_afterRefutation_dropsTheAccusation() {
        mTable.merge(NOW_MS, update("a", 0, Health.LIVE), Optional.empty());
        mRejected.add(update("a", 0, Health.GONE));
        mTable.merge(NOW_MS, update("a", 1, Health.LIVE), Optional.empty());

        assertThat(next(NOW_MS)).isEmpty();
    }

    @Test
    void next_whenTableAlreadyHasTheSuspicion_dropsTheAccusation() {
        mTable.merge(NOW_MS, update("a", 0, Health.LIVE), Optional.empty());
        mRejected.add(update("a", 0, Health.SUSPECT));
        mTable.merge(NOW_MS, update("a", 0, Health.SUSPECT), Optional.of(new Region("r0")));

        assertThat(next(NOW_MS)).isEmpty();
    }

    private Optional<String> next(long nowMs) {
        return mRejected.next(nowMs, mTable).map(MemberUpdate::name);
    }

    private static MemberUpdate update(String name, long counter, Health health) {
        return MemberUpdate.of(new VmId(name, 1), counter, health, false, Optional.of(DETAILS));
    }
}
