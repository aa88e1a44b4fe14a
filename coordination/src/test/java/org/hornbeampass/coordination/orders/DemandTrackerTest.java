package org.hornbeampass.coordination.orders;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.upstream.WorkTarget;
import org.junit.jupiter.api.Test;

/** Tests that {@link DemandTracker} follows lasting changes of demand and ignores short ones. */
class DemandTrackerTest {
    private static final WorkTarget TARGET = WorkTarget.model(new ModelId("m"));

    private final DemandTracker mTracker = new DemandTracker(10, 2);

    @Test
    void shortPeak_addsNothing() {
        assertThat(observe(0, 60_000, 10)).isEqualTo(2);
        assertThat(observe(60_000, 70_000, 40)).isEqualTo(2);
        assertThat(observe(70_000, 300_000, 10)).isEqualTo(2);
    }

    @Test
    void lastingDemand_addsCopiesUntilTheySuffice() {
        observe(0, 60_000, 10);

        assertThat(observe(60_000, 1_200_000, 38)).isEqualTo(5);
    }

    @Test
    void fallingDemand_removesCopiesSlowlyDownToTheMinimum() {
        mTracker.observe(0, TARGET, 40);

        assertThat(observe(0, 500_000, 1)).isEqualTo(5);
        assertThat(observe(500_000, 10_000_000, 1)).isEqualTo(2);
    }

    @Test
    void demandBetweenThresholds_changesNothing() {
        mTracker.observe(0, TARGET, 40);

        assertThat(observe(0, 10_000_000, 30)).isEqualTo(5);
    }

    private int observe(long fromMs, long toMs, double concurrency) {
        int copies = 0;
        for (long now = fromMs; now < toMs; now += 1_000) {
            copies = mTracker.observe(now, TARGET, concurrency);
        }
        return copies;
    }
}
