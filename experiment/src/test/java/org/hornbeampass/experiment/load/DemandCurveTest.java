package org.hornbeampass.experiment.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.SplittableRandom;

/** Tests {@link DemandCurve}. */
class DemandCurveTest {
    private static final DemandCurve RAMP =
            new DemandCurve(List.of(new DemandPoint(10_000, 100), new DemandPoint(0, 0)));

    @Test
    void rate_isStraightBetweenPointsAndLevelAfterTheLast() {
        assertThat(RAMP.perSecond(0)).isZero();
        assertThat(RAMP.perSecond(2_500)).isEqualTo(25);
        assertThat(RAMP.perSecond(20_000)).isEqualTo(100);
    }

    @Test
    void arrivals_followTheCurveAndTheSeed() {
        List<Double> times = RAMP.arrivals(new SplittableRandom(1), 10_000);

        assertThat(times).isEqualTo(RAMP.arrivals(new SplittableRandom(1), 10_000));
        assertThat(times).isSorted();
        assertThat(times.size()).isBetween(430, 570);
        assertThat(times.stream().filter(t -> t < 5_000).count()).isBetween(90L, 160L);
    }

    @Test
    void noRate_givesNoArrivals() {
        DemandCurve none = new DemandCurve(List.of(new DemandPoint(0, 0)));

        assertThat(none.arrivals(new SplittableRandom(1), 10_000)).isEmpty();
    }
}
