package org.hornbeampass.coordination.slo;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Map;

/** Tests {@link BurnRates} and {@link BurnAlert} with computed examples. */
class BurnRatesTest {
    @ParameterizedTest
    @CsvSource({
        "1000, 0, 0.999, 0",
        "999, 1, 0.999, 1",
        "998, 2, 0.999, 2",
        "950, 50, 0.95, 1",
        "0, 10, 0.95, 20",
        "0, 0, 0.95, 0",
    })
    void rate_isBadShareDividedByTheBudget(long good, long bad, double target, double rate) {
        assertThat(BurnRates.rate(new Counts(good, bad), target)).isCloseTo(rate, within(1e-9));
    }

    @ParameterizedTest
    @CsvSource({
        "1000, 0, 0.999, 1, 1",
        "99950, 50, 0.999, 0.5, 50",
        "99900, 100, 0.999, 0, 0",
        "99800, 200, 0.999, -1, -100",
        "0, 0, 0.999, 1, 0",
    })
    void remaining_isUnusedShareOfTheBudget(
            long good, long bad, double target, double remaining, long badLeft) {
        Counts period = new Counts(good, bad);

        assertThat(BurnRates.remaining(period, target)).isCloseTo(remaining, within(1e-6));
        assertThat(BurnRates.remainingBadRequests(period, target)).isEqualTo(badLeft);
    }

    @Test
    void alert_requiresTheLongAndTheShortWindow() {
        assertThat(BurnAlert.mostUrgent(Map.of(BurnWindow.H1, 20.0, BurnWindow.M5, 20.0)))
                .contains(BurnAlert.PAGE_FAST);
        assertThat(BurnAlert.mostUrgent(Map.of(BurnWindow.H1, 20.0, BurnWindow.M5, 0.0))).isEmpty();
        assertThat(BurnAlert.mostUrgent(Map.of(BurnWindow.H1, 0.5, BurnWindow.M5, 99.0))).isEmpty();
        assertThat(BurnAlert.mostUrgent(Map.of(BurnWindow.H6, 6.0, BurnWindow.M30, 6.0)))
                .contains(BurnAlert.PAGE_SLOW);
        assertThat(BurnAlert.mostUrgent(Map.of(BurnWindow.D3, 1.0, BurnWindow.H6, 1.0)))
                .contains(BurnAlert.TICKET);
    }
}
