package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Compares the upstreams that may get a request by how long it would wait there, what it would read
 * again and how likely it would fail.
 *
 * <p>Confined to one thread.
 */
final class UpstreamCosts implements UpstreamSelector {
    /**
     * The factor by which this VM's own load is multiplied to stand for that of the other VMs when
     * no reports arrive from them. Callers choose VMs at random, so that their loads are similar.
     */
    static final double UNREPORTED_LOAD_FACTOR = 2.0;

    /** How much each running request adds to the wait of another at an engine, in milliseconds. */
    private static final double COST_PER_RUNNING_REQUEST_MS = 0.5;

    /**
     * The weight of a token that is cached at another upstream and would be read a second time,
     * compared to a token that has to be read anyway. Reading it again delays all other requests at
     * the upstream and is billed.
     */
    static final double REPEATED_PREFILL_WEIGHT = 3.0;

    /**
     * The cost of a certain failure when upstreams are compared, in milliseconds: about the wait of
     * a second attempt.
     */
    static final double FAILURE_COST_MS = 3_000;

    /** The upper bound of the random cost that breaks ties between upstreams, in milliseconds. */
    private static final double MAX_TIE_BREAK_MS = 4.0;

    private final RandomGenerator mRandom;
    private final IntSupplier mVms;
    private final FleetLoad mFleetLoad;
    private final SlowStarts mSlowStarts;

    /**
     * Creates the comparison.
     *
     * @param random breaks ties
     * @param vms how many VMs send requests to the upstreams
     * @param fleetLoad the load that the other VMs reported
     * @param slowStarts the upstreams in their slow start, whose caches are empty
     */
    UpstreamCosts(
            RandomGenerator random, IntSupplier vms, FleetLoad fleetLoad, SlowStarts slowStarts) {
        mRandom = random;
        mVms = vms;
        mFleetLoad = fleetLoad;
        mSlowStarts = slowStarts;
    }

    @Override
    public boolean learns() {
        return false;
    }

    @Override
    public Optional<UpstreamChoice> choose(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            Set<String> tried,
            List<UpstreamInstance> instances) {
        Optional<UpstreamInstance> cacheHolder = cacheHolder(nowMs, prompt, instances);
        Optional<UpstreamInstance> cheapest =
                cheapest(nowMs, service, prompt, tried, cacheHolder, instances);
        return cheapest.map(b -> new UpstreamChoice(b, tokensToRead(b, prompt, cacheHolder)));
    }

    /**
     * Returns the upstream with the lowest cost that is not paused; if all are paused, the one with
     * the lowest cost.
     */
    private Optional<UpstreamInstance> cheapest(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            Set<String> tried,
            Optional<UpstreamInstance> cacheHolder,
            List<UpstreamInstance> instances) {
        double lowest = Double.MAX_VALUE;
        boolean lowestPaused = true;
        UpstreamInstance cheapest = null;
        for (UpstreamInstance each : instances) {
            boolean paused = each.isPaused(nowMs);
            if (tried.contains(each.id()) || (paused && !lowestPaused)) {
                continue;
            }
            double cost =
                    service.engine().isPresent()
                            ? engineCost(nowMs, each, prompt, cacheHolder)
                            : serviceCost(nowMs, each);
            boolean firstUnpaused = lowestPaused && !paused;
            if (firstUnpaused || cost < lowest) {
                lowest = cost;
                lowestPaused = paused;
                cheapest = each;
            }
        }
        return Optional.ofNullable(cheapest);
    }

    /**
     * Returns the upstream that most likely has the shared parts of a prompt cached. Rendezvous
     * hashing makes all VMs choose the same one. An upstream in its slow start takes too few
     * requests to hold the parts of its share of the prompts.
     */
    private Optional<UpstreamInstance> cacheHolder(
            long nowMs, Prompt prompt, List<UpstreamInstance> instances) {
        long key = prompt.sharedHash();
        if (key == 0) {
            return Optional.empty();
        }
        long highest = Long.MIN_VALUE;
        UpstreamInstance holder = null;
        for (UpstreamInstance each : instances) {
            long rank = rank(key, each);
            if (rank > highest && !mSlowStarts.isCold(nowMs, each.incarnation())) {
                highest = rank;
                holder = each;
            }
        }
        return Optional.ofNullable(holder);
    }

    /** Returns an upstream's rank for a hash of prompt parts, the same at all VMs. */
    static long rank(long key, UpstreamInstance upstream) {
        return mix(key ^ (upstream.id().hashCode() * 0x9E3779B97F4A7C15L));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ (mixed >>> 33);
    }

    private double engineCost(
            long nowMs,
            UpstreamInstance each,
            Prompt prompt,
            Optional<UpstreamInstance> cacheHolder) {
        boolean cached = cacheHolder.isPresent() && cacheHolder.get() == each;
        long own = prompt.promptTokens() - prompt.sharedTokens();
        double toRead = own + (cached ? 0 : REPEATED_PREFILL_WEIGHT * prompt.sharedTokens());
        FleetLoad.Work others = mFleetLoad.at(each.id());
        double ownWeight = mFleetLoad.ownWeight(mVms.getAsInt(), UNREPORTED_LOAD_FACTOR);
        double unread = ownWeight * each.unreadTokens() + others.unreadTokens();
        double requests = ownWeight * each.inFlight() + others.requests();
        return (toRead + unread) / UpstreamInstance.PREFILL_TOKENS_PER_MS
                + COST_PER_RUNNING_REQUEST_MS * requests
                + each.delayMs(nowMs)
                + commonCost(nowMs, each);
    }

    private static long tokensToRead(
            UpstreamInstance each, Prompt prompt, Optional<UpstreamInstance> cacheHolder) {
        boolean cached = cacheHolder.isPresent() && cacheHolder.get() == each;
        return prompt.promptTokens() - (cached ? prompt.sharedTokens() : 0);
    }

    private double serviceCost(long nowMs, UpstreamInstance each) {
        return (each.inFlight() + 0.5) * Math.max(1, each.latencyMs()) + commonCost(nowMs, each);
    }

    private double commonCost(long nowMs, UpstreamInstance each) {
        return each.failureShare(nowMs) * FAILURE_COST_MS + mRandom.nextDouble() * MAX_TIE_BREAK_MS;
    }
}
