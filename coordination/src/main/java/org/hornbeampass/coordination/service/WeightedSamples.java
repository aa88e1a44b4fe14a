package org.hornbeampass.coordination.service;

import com.codahale.metrics.WeightedSnapshot;
import com.codahale.metrics.WeightedSnapshot.WeightedSample;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The most recent observations of a quantity, weighted by age, from which a quantile is taken.
 *
 * <p>Invariant: weights decay relative to the newest observation, so that the estimate stays while
 * none arrive. Confined to one thread.
 */
final class WeightedSamples {
    /** The number of observations that are kept. */
    private static final int MAX_SAMPLES = 32;

    /**
     * The time constant of the decay of weights, in milliseconds. With it, observations made since
     * an upstream became slow outweigh three quarters of the earlier ones after 2.1 s.
     */
    private static final double DECAY_TIME_CONSTANT_MS = 1_500;

    /** Snapshots hold whole numbers; this factor keeps three decimals. */
    private static final double SCALE = 1_000;

    /**
     * One observation.
     *
     * @param atMs when it was made, in milliseconds
     * @param value the value
     * @param weight its weight before it ages
     */
    private record Sample(long atMs, double value, double weight) {}

    private final double mQuantile;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private long mNewestMs;
    private double mEstimate;
    private boolean mStale;

    /** Creates an empty window; {@code quantile} is between 0 and 1. */
    WeightedSamples(double quantile) {
        mQuantile = quantile;
    }

    /** Adds an observation; one without weight is ignored. */
    void add(long atMs, double value, double weight) {
        if (!(weight > 0) || !Double.isFinite(value)) {
            return;
        }
        mSamples.addLast(new Sample(atMs, value, weight));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.removeFirst();
        }
        mNewestMs = Math.max(mNewestMs, atMs);
        mStale = true;
    }

    /** Returns whether there is no observation. */
    boolean isEmpty() {
        return mSamples.isEmpty();
    }

    /** Returns the time of the newest observation in milliseconds; 0 where there is none. */
    long newestMs() {
        return mNewestMs;
    }

    /** Returns the weighted quantile; 0 where there is no observation. */
    double estimate() {
        if (mStale) {
            mStale = false;
            mEstimate = compute();
        }
        return mEstimate;
    }

    private double compute() {
        List<WeightedSample> weighted = new ArrayList<>(mSamples.size());
        for (Sample each : mSamples) {
            double kept = Math.exp((each.atMs() - mNewestMs) / DECAY_TIME_CONSTANT_MS);
            weighted.add(
                    new WeightedSample(Math.round(each.value() * SCALE), each.weight() * kept));
        }
        return new WeightedSnapshot(weighted).getValue(mQuantile) / SCALE;
    }
}
