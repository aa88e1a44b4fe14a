package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Holds all registered upstreams and chooses one for each request.
 *
 * <p>Invariants: an upstream that is leaving or gone is never chosen; the state of an upstream
 * belongs to one incarnation, and an older incarnation never replaces a newer one; an upstream that
 * is paused after failures is chosen only if all usable upstreams of its service are paused; an
 * upstream whose rate limit the fleet has used up is not chosen. Confined to one thread.
 */
public final class UpstreamRegistry {
    /**
     * How long an upstream stays in use after its entry went missing in an outage of the platform,
     * in milliseconds. Entries are back within two seconds after an outage.
     */
    static final long MISSING_GRACE_MS = 1_900;

    /**
     * The factor by which this VM's own load is multiplied to stand for that of the other VMs when
     * no reports arrive from them. Callers choose VMs at random, so that their loads are similar.
     */
    private static final double UNREPORTED_LOAD_FACTOR = 2.0;

    /** How much each running request adds to the wait of another at an engine, in milliseconds. */
    private static final double COST_PER_RUNNING_REQUEST_MS = 0.5;

    /**
     * The weight of a token that is cached at another upstream and would be read a second time,
     * compared to a token that has to be read anyway. Reading it again delays all other requests at
     * the upstream and is billed.
     */
    private static final double REPEATED_PREFILL_WEIGHT = 3.0;

    /**
     * The cost of a certain failure when upstreams are compared, in milliseconds: about the wait of
     * a second attempt.
     */
    private static final double FAILURE_COST_MS = 3_000;

    /** The upper bound of the random cost that breaks ties between upstreams, in milliseconds. */
    private static final double MAX_TIE_BREAK_MS = 4.0;

    private final Map<String, UpstreamInstance> mById = new HashMap<>();
    private final Map<String, List<UpstreamInstance>> mByService = new HashMap<>();
    private final FormerUpstreams mFormer = new FormerUpstreams();
    private final SignalTable mSignals;
    private final SendGate mGate;
    private final FleetLoad mFleetLoad = new FleetLoad();
    private final RandomGenerator mRandom;
    private final IntSupplier mVms;

    /** Creates an empty registry for upstreams without signals and rate limits. */
    public UpstreamRegistry(RandomGenerator random, IntSupplier vms) {
        this(random, vms, new SignalTable(), SendGate.OPEN);
    }

    /**
     * Creates an empty registry.
     *
     * @param random breaks ties
     * @param vms how many VMs send requests to the upstreams
     * @param signals the signals of upstreams' answers
     * @param gate decides which upstreams get no requests because of their rate limits
     */
    public UpstreamRegistry(
            RandomGenerator random, IntSupplier vms, SignalTable signals, SendGate gate) {
        mRandom = random;
        mVms = vms;
        mSignals = signals;
        mGate = gate;
    }

    /** Returns the load that the other VMs reported. */
    FleetLoad fleetLoad() {
        return mFleetLoad;
    }

    /** Returns this VM's own load, for the other VMs. */
    InFlightReport inFlight() {
        return new InFlightReport(
                mById.values().stream()
                        .filter(i -> i.inFlight() > 0)
                        .map(i -> new InFlightReport.Item(i.id(), i.unreadTokens(), i.inFlight()))
                        .toList(),
                1);
    }

    /**
     * Applies an upstream's entry as read from the platform.
     *
     * @param nowMs the present time in milliseconds
     * @param entry the entry
     * @return how the entry was handled
     */
    public EntryResult onEntry(long nowMs, UpstreamEntry entry) {
        UpstreamInstance current = mById.get(entry.id());
        if (current == null) {
            if (mFormer.hasEnded(entry)) {
                return EntryResult.FORMER_INCARNATION;
            }
            add(entry);
            return EntryResult.ADDED;
        }
        if (current.entry().startedAfter(entry)) {
            return EntryResult.FORMER_INCARNATION;
        }
        if (!entry.startedAfter(current.entry())) {
            update(current, entry);
            return EntryResult.UPDATED;
        }
        mByService.get(current.entry().service()).remove(current);
        add(entry);
        current.end(nowMs);
        return EntryResult.STARTED_AGAIN;
    }

    private void update(UpstreamInstance current, UpstreamEntry entry) {
        boolean serviceChanged = !current.entry().service().equals(entry.service());
        if (serviceChanged) {
            mByService.get(current.entry().service()).remove(current);
            mByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(current);
        }
        current.update(entry);
    }

    private void add(UpstreamEntry entry) {
        UpstreamInstance added = new UpstreamInstance(entry);
        if (mSignals.get(added.incarnation()).leaving()) {
            added.markLeaving();
        }
        mById.put(entry.id(), added);
        mByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(added);
    }

    /** Handles an entry that can't be parsed, like the removal of the entry. */
    public void onUnreadableEntry(long nowMs, String id) {
        onRemoved(nowMs, id, false);
    }

    /**
     * Handles the removal of an entry.
     *
     * @param nowMs the present time in milliseconds
     * @param id the upstream's identity
     * @param afterOutage whether the platform was unreachable shortly before, so that the entry may
     *     have expired and will be written again
     */
    public void onRemoved(long nowMs, String id, boolean afterOutage) {
        UpstreamInstance current = mById.get(id);
        if (current != null) {
            current.markGoneAt(afterOutage ? nowMs + MISSING_GRACE_MS : nowMs);
        }
    }

    /**
     * Permanently stops new requests to an incarnation, if it is the current one of its upstream.
     */
    void markLeaving(UpstreamIncarnation upstream) {
        UpstreamInstance current = mById.get(upstream.upstream());
        if (current != null && current.incarnation().equals(upstream)) {
            current.markLeaving();
        }
    }

    /**
     * Returns the upstreams that are leaving according to their answers but not to their entries.
     */
    List<UpstreamIncarnation> leavingByAnswerOnly(long nowMs) {
        return mById.values().stream()
                .filter(i -> i.isLeaving() && !i.entry().leaving() && !i.isGone(nowMs))
                .map(UpstreamInstance::incarnation)
                .toList();
    }

    /** Returns the registered upstreams that have a rate limit. */
    public Set<String> rateLimited() {
        return mById.values().stream()
                .filter(i -> mSignals.get(i.incarnation()).rateLimit().hasLimit())
                .map(UpstreamInstance::id)
                .collect(Collectors.toSet());
    }

    /**
     * Marks an upstream as gone because the server at its address answered that it is another one.
     */
    public void onIdentityMismatch(long nowMs, UpstreamInstance instance) {
        instance.markGoneAt(nowMs);
    }

    /**
     * Removes upstreams that are gone and have no request in progress, and discards expired state.
     */
    public void tick(long nowMs) {
        mFormer.tick(nowMs);
        mFleetLoad.tick(nowMs);
        mById.values().removeIf(i -> forgetIfGone(nowMs, i));
        for (List<UpstreamInstance> instances : mByService.values()) {
            instances.removeIf(i -> i.isGone(nowMs) && i.inFlight() == 0);
        }
    }

    private boolean forgetIfGone(long nowMs, UpstreamInstance instance) {
        boolean removable = instance.isGone(nowMs) && instance.inFlight() == 0;
        if (removable) {
            mFormer.add(nowMs, instance.entry(), instance.isLeaving());
        }
        return removable;
    }

    /**
     * Returns the upstreams of a service that may get requests. If at least half of them state
     * their incarnation, entries without one are left out, since upstreams did not write them. If
     * fewer do, those entries may come from another writer and must not exclude the rest.
     */
    private List<UpstreamInstance> selectable(long nowMs, String service) {
        List<UpstreamInstance> all = mByService.getOrDefault(service, List.of());
        int identified = 0;
        for (UpstreamInstance each : all) {
            identified += each.hasIncarnation() ? 1 : 0;
        }
        boolean requireIncarnation = identified > 0 && 2 * identified >= all.size();
        List<UpstreamInstance> selectable = new ArrayList<>(all.size());
        for (UpstreamInstance each : all) {
            boolean eligible =
                    each.isUsable(nowMs) && (!requireIncarnation || each.hasIncarnation());
            if (eligible && mGate.waitMs(nowMs, each.incarnation()) == 0) {
                selectable.add(each);
            }
        }
        return selectable;
    }

    /**
     * Chooses the upstream of a request.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service
     * @param prompt the request's prompt
     * @param tried upstreams to which the request was sent before, which are not chosen again
     */
    public Optional<UpstreamChoice> choose(
            long nowMs, ServiceSpec service, Prompt prompt, Set<String> tried) {
        List<UpstreamInstance> instances = selectable(nowMs, service.name());
        Optional<UpstreamInstance> cacheHolder = cacheHolder(prompt, instances);
        Optional<UpstreamInstance> cheapest =
                cheapest(nowMs, service, prompt, tried, cacheHolder, instances);
        return cheapest.map(b -> new UpstreamChoice(b, tokensToRead(b, prompt, cacheHolder)));
    }

    /**
     * Returns the time until the first upstream of a service accepts requests again, if all of them
     * have requested a pause.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @return the time in milliseconds from now; empty if at least one upstream has requested no
     *     pause
     */
    public OptionalLong requestedPauseLeftMs(long nowMs, String service) {
        return shortestWait(nowMs, service, i -> i.requestedPauseLeftMs(nowMs));
    }

    /**
     * Returns the time until the first upstream of a service may get requests again, if requested
     * pauses and used-up rate limits block all of them.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @return the time in milliseconds from now; empty if at least one upstream is not blocked
     */
    public OptionalLong unavailableForMs(long nowMs, String service) {
        return shortestWait(
                nowMs,
                service,
                i -> Math.max(i.requestedPauseLeftMs(nowMs), mGate.waitMs(nowMs, i.incarnation())));
    }

    private OptionalLong shortestWait(
            long nowMs, String service, ToLongFunction<UpstreamInstance> waitMs) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(i -> !i.isLeaving() && !i.isGone(nowMs))
                .mapToLong(waitMs)
                .min()
                .stream()
                .filter(leftMs -> leftMs > 0)
                .findFirst();
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
     * hashing makes all VMs choose the same one.
     */
    private static Optional<UpstreamInstance> cacheHolder(
            Prompt prompt, List<UpstreamInstance> instances) {
        long key = prompt.sharedHash();
        if (key == 0) {
            return Optional.empty();
        }
        long highest = Long.MIN_VALUE;
        UpstreamInstance holder = null;
        for (UpstreamInstance each : instances) {
            long rank = mix(key ^ (each.id().hashCode() * 0x9E3779B97F4A7C15L));
            if (rank > highest) {
                highest = rank;
                holder = each;
            }
        }
        return Optional.ofNullable(holder);
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
        double ownWeight = ownWeight();
        double unread = ownWeight * each.unreadTokens() + others.unreadTokens();
        double requests = ownWeight * each.inFlight() + others.requests();
        return (toRead + unread) / UpstreamInstance.PREFILL_TOKENS_PER_MS
                + COST_PER_RUNNING_REQUEST_MS * requests
                + each.delayMs(nowMs)
                + commonCost(nowMs, each);
    }

    /**
     * Returns the factor for this VM's own load, which also stands for the VMs whose reports are
     * missing.
     */
    private double ownWeight() {
        int others = Math.max(1, mVms.getAsInt() - 1);
        double unreportedShare = Math.max(0, 1 - (double) mFleetLoad.reportingVms() / others);
        return 1 + unreportedShare * (UNREPORTED_LOAD_FACTOR - 1);
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
