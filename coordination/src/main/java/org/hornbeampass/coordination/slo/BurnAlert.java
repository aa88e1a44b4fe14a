package org.hornbeampass.coordination.slo;

import java.util.Map;
import java.util.Optional;

/**
 * Burn-rate alerts, the most urgent first.
 *
 * <p>An alert is active while the burn rates of a long and a short window both reach its threshold.
 * The long window keeps short bursts from raising it; the short window lets it clear soon after the
 * errors have ended.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BurnAlert {
    /** Needs action at once: the budget burns fast. */
    PAGE_FAST(14.4, BurnWindow.H1, BurnWindow.M5),
    /** Needs action at once: the budget burns more slowly, but for longer. */
    PAGE_SLOW(6, BurnWindow.H6, BurnWindow.M30),
    /** Needs a look during working hours. */
    TICKET(1, BurnWindow.D3, BurnWindow.H6);

    private final double mRate;
    private final BurnWindow mLong;
    private final BurnWindow mShort;

    BurnAlert(double rate, BurnWindow longWindow, BurnWindow shortWindow) {
        mRate = rate;
        mLong = longWindow;
        mShort = shortWindow;
    }

    /** Returns the lowest burn rate at which the alert is active. */
    public double rate() {
        return mRate;
    }

    /** Returns the most urgent active alert for an objective's burn rates by window. */
    public static Optional<BurnAlert> mostUrgent(Map<BurnWindow, Double> rates) {
        for (BurnAlert alert : values()) {
            double lowerRate =
                    Math.min(
                            rates.getOrDefault(alert.mLong, 0.0),
                            rates.getOrDefault(alert.mShort, 0.0));
            if (lowerRate >= alert.mRate) {
                return Optional.of(alert);
            }
        }
        return Optional.empty();
    }
}
