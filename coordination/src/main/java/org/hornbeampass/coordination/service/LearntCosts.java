package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Compares upstreams by the predicted time to the first event, from models that are learnt from
 * their answers.
 *
 * <p>Written for services whose upstreams differ in speed and for fleets in which most requests at
 * an upstream are those of other VMs. Invariants: an upstream whose free slots or free cache tokens
 * can't hold the request is chosen only if no other can hold it; a paused one only if all are
 * paused. Confined to one thread.
 */
final class LearntCosts implements UpstreamSelector {
    /**
     * The size of the random cost, in tokens to read. Its distribution makes upstreams that are
     * otherwise equal receive requests in proportion to their rates.
     */
    private static final double TIE_BREAK_TOKENS = 800;

    /** The cost of a plain upstream whose slots are all in use, as a share of the mean time. */
    private static final double PLAIN_USE_SHARE = 0.2;

    /** The size of the random cost among plain upstreams, as a share of the time of a request. */
    private static final double PLAIN_TIE_BREAK_SHARE = 0.3;

    /**
     * The expected wait at an upstream whose slots are all in use, as a share of a request's time.
     */
    private static final double FULL_USE_WAIT_SHARE = 0.25;

    /** How steeply the expected wait grows with the share of the slots that are in use. */
    private static final double USE_EXPONENT = 4;

    /**
     * How many standard deviations of the requests in progress must be free besides one slot, since
     * other VMs send requests that are not reported yet.
     */
    private static final double UNREPORTED_DEVIATIONS = 0.5;

    private final RoutingSettings mRouting;
    private final RandomGenerator mRandom;
    private final IntSupplier mVms;
    private final FleetLoad mFleetLoad;
    private final SlowStarts mSlowStarts;

    /**
     * Creates the comparison.
     *
     * @param routing this VM's failure domain and the cost of the distance to others
     * @param random breaks ties
     * @param vms how many VMs send requests to the upstreams
     * @param fleetLoad the load that the other VMs reported
     * @param slowStarts the upstreams in their slow start, whose caches are empty
     */
    LearntCosts(
            RoutingSettings routing,
            RandomGenerator random,
            IntSupplier vms,
            FleetLoad fleetLoad,
            SlowStarts slowStarts) {
        mRouting = routing;
        mRandom = random;
        mVms = vms;
        mFleetLoad = fleetLoad;
        mSlowStarts = slowStarts;
    }

    /**
     * One candidate.
     *
     * @param paused whether it is paused after failures
     * @param holds whether its free slots and cache can hold the request
     * @param cost the cost in milliseconds
     */
    private record Candidate(
            UpstreamInstance instance,
            EstimatedLoad load,
            boolean paused,
            boolean holds,
            double cost) {
        boolean isBetterThan(Candidate other) {
            if (paused != other.paused) {
                return !paused;
            }
            if (holds != other.holds) {
                return holds;
            }
            return cost < other.cost;
        }
    }

    @Override
    public boolean learns() {
        return true;
    }

    @Override
    public Optional<UpstreamChoice> choose(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            Set<String> tried,
            List<UpstreamInstance> instances) {
        EstimatedLoad.Estimator loads =
                new EstimatedLoad.Estimator(nowMs, mFleetLoad, mVms.getAsInt());
        PromptHolders holders =
                PromptHolders.of(
                        prompt,
                        mRouting,
                        i -> mSlowStarts.isCold(nowMs, i.incarnation()),
                        instances);
        Candidate best = null;
        for (UpstreamInstance each : instances) {
            if (tried.contains(each.id()) || each.model().isEmpty()) {
                continue;
            }
            Candidate candidate =
                    candidate(nowMs, service, prompt, each, each.model().get(), loads, holders);
            if (best == null || candidate.isBetterThan(best)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(b -> toChoice(b, prompt, holders));
    }

    private static UpstreamChoice toChoice(Candidate best, Prompt prompt, PromptHolders holders) {
        long own = ownTokens(prompt);
        boolean cached = holders.isFirst(best.instance());
        UpstreamChoice.Facts facts =
                new UpstreamChoice.Facts(
                        own,
                        Math.round(best.load().unreadTokens()),
                        (int) Math.round(best.load().requests()),
                        heldTokens(prompt));
        return new UpstreamChoice(best.instance(), cached ? own : prompt.promptTokens(), facts);
    }

    private static long ownTokens(Prompt prompt) {
        return prompt.promptTokens() - prompt.sharedTokens();
    }

    /** Returns the cache tokens that a request needs where the shared parts are cached. */
    private static long heldTokens(Prompt prompt) {
        return ownTokens(prompt) + prompt.maxOutputTokens();
    }

    private Candidate candidate(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            UpstreamInstance each,
            UpstreamModel model,
            EstimatedLoad.Estimator loads,
            PromptHolders holders) {
        Optional<ServiceSpec.Engine> engine = service.engine();
        double durationMs = engine.isPresent() ? model.durationMs() : plainDurationMs(model);
        EstimatedLoad load = loads.of(each, model.tokensPerMs(), durationMs);
        int slots = slots(each, engine);
        double unreported = UNREPORTED_DEVIATIONS * Math.sqrt(Math.max(0, load.requests()));
        boolean slotFree = load.requests() + unreported + 1 <= slots;
        boolean cacheFree =
                engine.isEmpty()
                        || load.heldTokens() + heldTokens(prompt) <= engine.get().cacheTokens();
        double used = load.requests() / slots;
        double slotWaitMs = slotWaitMs(load.requests(), slots, durationMs);
        double ownCostMs =
                engine.isPresent()
                        ? engineMs(nowMs, model, load, used)
                                + repeatedMs(prompt, each, model, holders)
                        : PLAIN_USE_SHARE * used / model.meanTokensPerMs()
                                + tieBreak() * PLAIN_TIE_BREAK_SHARE * durationMs;
        double cost =
                slotWaitMs
                        + ownCostMs
                        + mRouting.distanceMs(each)
                        + each.failureShare(nowMs) * UpstreamCosts.FAILURE_COST_MS;
        return new Candidate(each, load, each.isPaused(nowMs), slotFree && cacheFree, cost);
    }

    /**
     * Returns the expected wait for a free slot. It grows before all slots are in use, since other
     * VMs send requests that are not reported yet.
     */
    private static double slotWaitMs(double requests, int slots, double durationMs) {
        double used = Math.min(1, requests / slots);
        double unreported = FULL_USE_WAIT_SHARE * Math.pow(used, USE_EXPONENT);
        double excess = Math.max(0, requests + 1 - slots) / slots;
        return (unreported + excess) * durationMs;
    }

    /** Returns the slots that the entry and the configuration state, the fewer of both. */
    private static int slots(UpstreamInstance each, Optional<ServiceSpec.Engine> engine) {
        int stated = Math.max(1, each.entry().slots());
        int configured = engine.map(ServiceSpec.Engine::slots).orElse(0);
        return configured > 0 ? Math.min(stated, configured) : stated;
    }

    /** Returns the time of a request at a plain upstream: its rate is in requests. */
    private static double plainDurationMs(UpstreamModel model) {
        return 1 / model.tokensPerMs();
    }

    /** Returns the predicted time to the first event without the request's own prompt. */
    private static double engineMs(
            long nowMs, UpstreamModel model, EstimatedLoad load, double used) {
        double idleEventMs = model.eventMs(0);
        double pauseMs = model.pauseMs(nowMs);
        double expectedPauseMs = pauseMs * pauseMs / (2 * UpstreamModel.RECENT_PAUSE_MS);
        return load.unreadTokens() / model.tokensPerMs()
                + Math.max(0, model.eventMs(used) - idleEventMs)
                + Math.max(0, model.delayMs(nowMs) - idleEventMs)
                + expectedPauseMs;
    }

    /**
     * Returns the cost of reading shared parts that another upstream holds, and of a random choice
     * among the upstreams that don't hold them.
     */
    private double repeatedMs(
            Prompt prompt, UpstreamInstance each, UpstreamModel model, PromptHolders holders) {
        if (holders.isFirst(each)) {
            return 0;
        }
        double onceMs = prompt.sharedTokens() / model.tokensPerMs();
        if (holders.isSecond(each)) {
            return onceMs;
        }
        double repeated = UpstreamCosts.REPEATED_PREFILL_WEIGHT * onceMs;
        return repeated + tieBreak() * TIE_BREAK_TOKENS / model.tokensPerMs();
    }

    /** Returns an exponentially distributed number with mean 1. */
    private double tieBreak() {
        return mRandom.nextExponential();
    }
}
