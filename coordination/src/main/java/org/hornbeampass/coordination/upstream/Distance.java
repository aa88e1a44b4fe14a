package org.hornbeampass.coordination.upstream;

import org.hornbeampass.state.config.UpstreamSpec;

/**
 * How far an upstream is from this VM, with the round-trip time that routing assumes.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum Distance {
    /** In the VM's own failure domain. */
    SAME_DOMAIN(0.5),
    /** In another failure domain of the VM's region. */
    SAME_REGION(3),
    /** In another region. */
    OTHER_REGION(120);

    private final double mRoundTripMs;

    Distance(double roundTripMs) {
        mRoundTripMs = roundTripMs;
    }

    /** Returns the assumed round-trip time in milliseconds. */
    public double roundTripMs() {
        return mRoundTripMs;
    }

    /** Returns the distance of an upstream from a VM. */
    static Distance of(Placement vm, UpstreamSpec upstream) {
        if (upstream.domain().equals(vm.domain())) {
            return SAME_DOMAIN;
        }
        return upstream.region().equals(vm.region()) ? SAME_REGION : OTHER_REGION;
    }
}
