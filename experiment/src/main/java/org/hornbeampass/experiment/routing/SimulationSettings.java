package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.coordination.upstream.RoutingSettings;

/**
 * What one run compares.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param site the deployment
 * @param policy how upstreams are chosen
 * @param load the share of the runners' capacity without any cached prefix
 * @param lagMs how late load reports and cache events are
 * @param lengthMs the length of the demand
 * @param seed seeds demand and choices
 * @param retries how retries are bounded
 * @param routing settings of each VM's table
 */
public record SimulationSettings(
        Site site,
        RoutingPolicy policy,
        double load,
        long lagMs,
        long lengthMs,
        long seed,
        RetryMode retries,
        RoutingSettings routing) {
    /** How retries are bounded. */
    public enum RetryMode {
        /** By the budget of a tenth of first attempts. */
        BUDGET,
        /** By the number of attempts of each request only; callers don't come again. */
        UNBOUNDED,
        /** By the budget; callers whose request failed come again up to twice. */
        BUDGET_CALLERS_RETRY,
        /** By the number of attempts only; callers whose request failed come again up to twice. */
        UNBOUNDED_CALLERS_RETRY;

        boolean bounded() {
            return this == BUDGET || this == BUDGET_CALLERS_RETRY;
        }

        boolean callersRetry() {
            return this == BUDGET_CALLERS_RETRY || this == UNBOUNDED_CALLERS_RETRY;
        }
    }

    /** Returns a run without faults at four fifths of capacity. */
    public static SimulationSettings of(Site site, RoutingPolicy policy, long lagMs, long seed) {
        return new SimulationSettings(
                site,
                policy,
                0.8,
                lagMs,
                30_000,
                seed,
                RetryMode.BUDGET,
                RoutingSettings.defaults());
    }

    /** Returns these settings with another load. */
    public SimulationSettings withLoad(double other) {
        return new SimulationSettings(site, policy, other, lagMs, lengthMs, seed, retries, routing);
    }

    /** Returns these settings with another bound on retries. */
    public SimulationSettings withRetries(RetryMode other) {
        return new SimulationSettings(site, policy, load, lagMs, lengthMs, seed, other, routing);
    }

    /** Returns these settings with other settings of the tables. */
    public SimulationSettings withRouting(RoutingSettings other) {
        return new SimulationSettings(site, policy, load, lagMs, lengthMs, seed, retries, other);
    }
}
