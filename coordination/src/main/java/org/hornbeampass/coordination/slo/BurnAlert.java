package org.hornbeampass.coordination.slo;

import java.util.Map;
import java.util.Optional;

/**
 * The alerts, most urgent first: each is on while a long and a short window both burn faster than
 * its rate, so that it comes on for what matters and goes off soon after it has ended.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum BurnAlert {
    /** Act now. */
    PAGE_FAST(14.4, BurnWindow.H1, BurnWindow.M5),
    /** Act now, less is burning. */
    PAGE_SLOW(6, BurnWindow.H6, BurnWindow.M30),
    /** Look in working hours. */
    TICKET(1, BurnWindow.D3, BurnWindow.H6);

    private final double mRate;
    private final BurnWindow mLong;
    private final BurnWindow mShort;

    BurnAlert(double rate, BurnWindow longWindow, BurnWindow shortWindow) {
        mRate = rate;
        mLong = longWindow;
        mShort = shortWindow;
    }

    /** Returns the burn rate from which the alert is on. */
    public double rate() {
        return mRate;
    }

    /** Returns the most urgent alert that is on for an objective's burn rates by window. */
    public static Optional<BurnAlert> mostUrgent(Map<BurnWindow, Double> rates) {
        for (BurnAlert alert : values()) {
            double slower =
                    Math.min(
                            rates.getOrDefault(alert.mLong, 0.0),
                            rates.getOrDefault(alert.mShort, 0.0));
            if (slower >= alert.mRate) {
                return Optional.of(alert);
            }
        }
        return Optional.empty();
    }
}
