package org.hornbeampass.standin.platform;

import org.hornbeampass.standin.admin.Listen;

/**
 * The settings of a platform stand-in.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param listen where it listens
 * @param key the bearer key of all calls but the admin's; empty to check none
 * @param limits how many calls a second it takes
 * @param vmLagMs how late the list of VMs is, in milliseconds
 * @param weights the weight store
 * @param seed the seed of its faults
 */
public record PlatformSettings(
        Listen listen, String key, CallLimits limits, long vmLagMs, Weights weights, long seed) {
    /**
     * The weight store, which holds every artifact that is asked for.
     *
     * @param bytesPerSecond the rate that all downloads share
     * @param artifactBytes the size of each artifact
     */
    public record Weights(long bytesPerSecond, long artifactBytes) {}

    /** Returns a platform on the loopback interface that checks no key. */
    public static PlatformSettings defaults() {
        return new PlatformSettings(
                Listen.loopback(),
                "",
                CallLimits.defaults(),
                2_000,
                new Weights(64 << 20, 64 << 20),
                1);
    }

    /** Returns these settings with another place to listen. */
    public PlatformSettings withListen(Listen other) {
        return new PlatformSettings(other, key, limits, vmLagMs, weights, seed);
    }

    /** Returns these settings with a bearer key. */
    public PlatformSettings withKey(String other) {
        return new PlatformSettings(listen, other, limits, vmLagMs, weights, seed);
    }

    /** Returns these settings with other limits. */
    public PlatformSettings withLimits(CallLimits other) {
        return new PlatformSettings(listen, key, other, vmLagMs, weights, seed);
    }

    /** Returns these settings with another lag of the list of VMs. */
    public PlatformSettings withVmLagMs(long other) {
        return new PlatformSettings(listen, key, limits, other, weights, seed);
    }

    /** Returns these settings with another weight store. */
    public PlatformSettings withWeights(Weights other) {
        return new PlatformSettings(listen, key, limits, vmLagMs, other, seed);
    }

    /** Returns these settings with another seed. */
    public PlatformSettings withSeed(long other) {
        return new PlatformSettings(listen, key, limits, vmLagMs, weights, other);
    }
}
