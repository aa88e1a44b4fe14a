package org.hornbeampass.coordination.service;

/**
 * The load of one upstream as it most likely is now, from this VM's own requests and from the
 * reports of the other VMs, which are some hundred milliseconds old.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param unreadTokens prompt tokens that the upstream has not read yet
 * @param requests requests in progress there
 * @param heldTokens tokens of its cache that they need
 */
record EstimatedLoad(double unreadTokens, double requests, double heldTokens) {
    /**
     * Estimates the loads of upstreams. What was reported counts less the more of it has been done
     * since; in its place counts the smoothed load, because other VMs have sent new requests
     * meanwhile. Without this, all VMs would send their requests to the upstream that was idle some
     * hundred milliseconds ago.
     */
    static final class Estimator {
        private final FleetLoad mFleetLoad;
        private final double mOwnWeight;
        private final double mAgeMs;

        /**
         * Creates an estimator.
         *
         * @param nowMs the present time in milliseconds
         * @param fleetLoad the load that the other VMs reported
         * @param vms how many VMs send requests
         */
        Estimator(long nowMs, FleetLoad fleetLoad, int vms) {
            mFleetLoad = fleetLoad;
            mOwnWeight = fleetLoad.ownWeight(vms, UpstreamCosts.UNREPORTED_LOAD_FACTOR);
            mAgeMs = fleetLoad.ageMs(nowMs);
        }

        /**
         * Returns the load of an upstream.
         *
         * @param upstream the upstream
         * @param tokensPerMs the prompt tokens that it reads per millisecond
         * @param durationMs the time of a request there in milliseconds; 0 where it is unknown
         */
        EstimatedLoad of(UpstreamInstance upstream, double tokensPerMs, double durationMs) {
            FleetLoad.Work others = mFleetLoad.at(upstream.id());
            FleetLoad.SmoothedWork smoothed = mFleetLoad.smoothedAt(upstream.id());
            double unread = others.unreadTokens();
            double stillUnread = unread > 0 ? Math.max(0, 1 - tokensPerMs * mAgeMs / unread) : 0;
            double stillRunning = durationMs > 0 ? Math.exp(-mAgeMs / durationMs) : 1;
            return new EstimatedLoad(
                    mOwnWeight * upstream.unreadTokens()
                            + mix(unread, smoothed.unreadTokens(), stillUnread),
                    mOwnWeight * upstream.inFlight()
                            + mix(others.requests(), smoothed.requests(), stillRunning),
                    mOwnWeight * upstream.heldTokens() + others.heldTokens());
        }

        private static double mix(double reported, double smoothed, double reportedShare) {
            return reportedShare * reported + (1 - reportedShare) * smoothed;
        }
    }
}
