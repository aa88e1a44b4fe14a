package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.Prompt;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The two upstreams that hold the shared parts of a prompt.
 *
 * <p>Weighted rendezvous hashing makes all VMs of a failure domain choose the same ones, faster
 * upstreams for more prompts. Where the distance between failure domains has a cost, each failure
 * domain has its own holders. Immutable; safe for use by any thread.
 *
 * @param first the first holder; empty where the prompt has no shared parts
 * @param second the holder of a second copy, which is made while the first has much to read; empty
 *     where there is only one upstream
 */
record PromptHolders(Optional<UpstreamInstance> first, Optional<UpstreamInstance> second) {
    private static final PromptHolders NONE = new PromptHolders(Optional.empty(), Optional.empty());

    /** The number of different ranks; ranks are mapped to probabilities by it. */
    private static final double RANKS = 0x1p53;

    /** With fewer upstreams in a failure domain, holders are chosen from all. */
    private static final int MIN_NEAR = 3;

    /**
     * Chooses the holders.
     *
     * @param prompt the prompt
     * @param routing this VM's failure domain and the cost of the distance to others
     * @param isCold whether an upstream is in its slow start and holds too little
     * @param instances the upstreams that may get the request
     */
    static PromptHolders of(
            Prompt prompt,
            RoutingSettings routing,
            Predicate<UpstreamInstance> isCold,
            List<UpstreamInstance> instances) {
        long key = prompt.sharedHash();
        if (key == 0) {
            return NONE;
        }
        long near = instances.stream().filter(routing::isNear).count();
        boolean nearOnly = routing.crossDomainMs() > 0 && near >= MIN_NEAR;
        double highest = Double.NEGATIVE_INFINITY;
        double secondHighest = Double.NEGATIVE_INFINITY;
        UpstreamInstance first = null;
        UpstreamInstance second = null;
        for (UpstreamInstance each : instances) {
            if ((nearOnly && !routing.isNear(each)) || isCold.test(each)) {
                continue;
            }
            double rank = rank(key, each);
            if (rank > highest) {
                secondHighest = highest;
                second = first;
                highest = rank;
                first = each;
            } else if (rank > secondHighest) {
                secondHighest = rank;
                second = each;
            }
        }
        return new PromptHolders(Optional.ofNullable(first), Optional.ofNullable(second));
    }

    private static double rank(long key, UpstreamInstance upstream) {
        double uniform = ((UpstreamCosts.rank(key, upstream) >>> 11) + 0.5) / RANKS;
        double weight = upstream.model().map(UpstreamModel::holderWeight).orElse(1.0);
        return weight / -Math.log(uniform);
    }

    boolean isFirst(UpstreamInstance upstream) {
        return first.isPresent() && first.get() == upstream;
    }

    boolean isSecond(UpstreamInstance upstream) {
        return second.isPresent() && second.get() == upstream;
    }
}
