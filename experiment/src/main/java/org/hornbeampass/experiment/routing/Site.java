package org.hornbeampass.experiment.routing;

import org.hornbeampass.standin.engine.EngineTiming;

/**
 * The two deployments of today with their sizes.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum Site {
    /** Flight desk with its booking and dispatch application. */
    ETNA(6, 3, 1.5, 4),
    /** Flow review with its job record service. */
    KELANIYA(13, 3, 0.5, 3);

    /** The number of failure domains at each site. */
    public static final int DOMAINS = 3;

    private static final int CACHE_BLOCKS = 2_048;

    private final int mRunners;
    private final int mServices;
    private final double mOneWayMs;
    private final double mStepMs;

    Site(int runners, int services, double oneWayMs, double stepMs) {
        mRunners = runners;
        mServices = services;
        mOneWayMs = oneWayMs;
        mStepMs = stepMs;
    }

    /** Returns the number of model runners. */
    public int runners() {
        return mRunners;
    }

    /** Returns the number of instances of the plain service. */
    public int services() {
        return mServices;
    }

    /** Returns the time from one failure domain to another, in milliseconds. */
    public double oneWayMs() {
        return mOneWayMs;
    }

    /** Returns the timing of a runner. */
    public EngineTiming runnerTiming() {
        return new EngineTiming(mStepMs, 0.05, 0.02, 2_048, 32, 256, CACHE_BLOCKS);
    }

    /** Returns the timing of a service instance: eight calls at once, each of about 8 ms. */
    public EngineTiming serviceTiming() {
        return new EngineTiming(8, 0.1, 0, 1_000, 8, 256, 0);
    }
}
