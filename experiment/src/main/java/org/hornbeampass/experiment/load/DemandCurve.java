package org.hornbeampass.experiment.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A rate of requests over time, from which arrivals are drawn.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param points the points in the order of time, at least one
 */
public record DemandCurve(List<DemandPoint> points) {
    private static final double MS_PER_SECOND = 1_000;

    /** Sorts the points. */
    public DemandCurve {
        points = points.stream().sorted(Comparator.comparingLong(DemandPoint::atMs)).toList();
        if (points.isEmpty()) {
            throw new IllegalArgumentException("a demand curve needs a point");
        }
    }

    /** Returns the rate at a time, in requests a second. */
    public double perSecond(double atMs) {
        DemandPoint before = points.get(0);
        for (DemandPoint next : points) {
            if (next.atMs() > atMs) {
                return atMs <= before.atMs() ? before.perSecond() : between(before, next, atMs);
            }
            before = next;
        }
        return before.perSecond();
    }

    private static double between(DemandPoint before, DemandPoint next, double atMs) {
        double share = (atMs - before.atMs()) / (next.atMs() - before.atMs());
        return before.perSecond() + share * (next.perSecond() - before.perSecond());
    }

    /**
     * Returns the times of arrivals, in milliseconds from the start: a Poisson process, thinned.
     */
    public List<Double> arrivals(SplittableRandom random, long durationMs) {
        double peak = points.stream().mapToDouble(DemandPoint::perSecond).max().orElse(0);
        List<Double> times = new ArrayList<>();
        if (peak <= 0) {
            return times;
        }
        double atMs = 0;
        while (true) {
            atMs += -Math.log(1 - random.nextDouble()) / peak * MS_PER_SECOND;
            if (atMs >= durationMs) {
                return times;
            }
            if (random.nextDouble() * peak < perSecond(atMs)) {
                times.add(atMs);
            }
        }
    }
}
