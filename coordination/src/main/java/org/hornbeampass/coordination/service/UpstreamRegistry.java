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
 * All registered upstreams, and the choice of one for each request.
 *
 * <p>Invariants: an upstream that is leaving or gone is never chosen; what is known of one belongs
 * to one incarnation, and an older incarnation never comes back; one that is paused after failures
 * is chosen only where all usable ones of its service are; one whose rate limit the fleet has used
 * up is not chosen. Confined to one thread.
 */
public final class UpstreamRegistry {
    /**
     * How long an entry that is missing after an outage of the platform may still come back, in
     * milliseconds; the platform's own entries are back within two seconds.
     */
    static final long MISSING_GRACE_MS = 1_900;

    /**
     * By how much this VM's own load stands for that of the other VMs where none of them is heard:
     * callers choose VMs at random, so that loads are alike.
     */
    private static final double UNREPORTED_LOAD_FACTOR = 2.0;

    /** What one running request adds to another's wait at an engine, in milliseconds. */
    private static final double COST_PER_RUNNING_REQUEST_MS = 0.5;

    /**
     * How much more a token counts that is read a second time in the fleet than one that must be
     * read: it delays the requests of all others at its upstream, and is charged for.
     */
    private static final double REPEATED_PREFILL_WEIGHT = 3.0;

    /** What a certain failure costs in the comparison, in milliseconds: about a repeated wait. */
    private static final double FAILURE_COST_MS = 3_000;

    /** Breaks ties between upstreams at random, in milliseconds. */
    private static final double MAX_TIE_BREAK_MS = 4.0;

    private final Map<String, UpstreamInstance> mById = new HashMap<>();
    private final Map<String, List<UpstreamInstance>> mByService = new HashMap<>();
    private final FormerUpstreams mFormer = new FormerUpstreams();
    private final SignalTable mSignals;
    private final SendGate mGate;
    private final FleetLoad mFleetLoad = new FleetLoad();
    private final RandomGenerator mRandom;
    private final IntSupplier mVms;

    /** Makes an empty board for upstreams of which nothing is known but their entries. */
    public UpstreamRegistry(RandomGenerator random, IntSupplier vms) {
        this(random, vms, new SignalTable(), SendGate.OPEN);
    }

    /**
     * Makes an empty board.
     *
     * @param random spreads ties
     * @param vms how many VMs send requests to the upstreams
     * @param signals what upstreams have said of themselves
     * @param gate tells which upstreams take no more requests for now
     */
    public UpstreamRegistry(
            RandomGenerator random, IntSupplier vms, SignalTable signals, SendGate gate) {
        mRandom = random;
        mVms = vms;
        mSignals = signals;
        mGate = gate;
    }

    /** Returns what the other VMs have in progress. */
    FleetLoad fleetLoad() {
        return mFleetLoad;
    }

    /** Returns what this VM has in progress. */
    InFlightReport inFlight() {
        return new InFlightReport(
                mById.values().stream()
                        .filter(i -> i.inFlight() > 0)
                        .map(i -> new InFlightReport.Item(i.id(), i.unreadTokens(), i.inFlight()))
                        .toList(),
                1);
    }

    /**
     * Takes an entry as the platform shows it.
     *
     * @param nowMs the present time in milliseconds
     * @param entry the entry
     * @return what became of it
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

    /** Takes an entry that can't be understood: it names no upstream, whatever it named before. */
    public void onUnreadableEntry(long nowMs, String id) {
        onRemoved(nowMs, id, false);
    }

    /**
     * Takes the removal of an entry.
     *
     * @param nowMs the present time in milliseconds
     * @param id the upstream's identity
     * @param afterOutage whether the platform was out of reach a moment ago, so that entries may
     *     have lapsed which will be back
     */
    public void onRemoved(long nowMs, String id, boolean afterOutage) {
        UpstreamInstance current = mById.get(id);
        if (current != null) {
            current.markGoneAt(afterOutage ? nowMs + MISSING_GRACE_MS : nowMs);
        }
    }

    /** Takes an incarnation out of use for new requests, for good, if it is listed. */
    void markLeaving(UpstreamIncarnation upstream) {
        UpstreamInstance current = mById.get(upstream.upstream());
        if (current != null && current.incarnation().equals(upstream)) {
            current.markLeaving();
        }
    }

    /** Returns the upstreams that leave, and whose entries don't say so. */
    List<UpstreamIncarnation> leavingByAnswerOnly(long nowMs) {
        return mById.values().stream()
                .filter(i -> i.isLeaving() && !i.entry().leaving() && !i.isGone(nowMs))
                .map(UpstreamInstance::incarnation)
                .toList();
    }

    /** Returns the listed upstreams that have named a rate limit. */
    public Set<String> rateLimited() {
        return mById.values().stream()
                .filter(i -> mSignals.get(i.incarnation()).rateLimit().hasLimit())
                .map(UpstreamInstance::id)
                .collect(Collectors.toSet());
    }

    /** Takes the word of whoever listens at an address that it is not this upstream. */
    public void onIdentityMismatch(long nowMs, UpstreamInstance instance) {
        instance.markGoneAt(nowMs);
    }

    /** Forgets upstreams that are gone and have no request in progress. */
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
     * Returns the upstreams of a service that may get requests. Where half of them tell their
     * incarnation, an entry that does not is not an upstream's own; where few do, those few may be
     * another writer's, and take nobody else out of use.
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
     * @param prompt what the request reads
     * @param tried upstreams that may not be chosen, since the request was sent to them before
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
     * Returns when the first upstream of a service wants requests again, where all have asked for a
     * pause.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @return the time in milliseconds from now on; empty where no pause keeps requests from it
     */
    public OptionalLong requestedPauseLeftMs(long nowMs, String service) {
        return shortestWait(nowMs, service, i -> i.requestedPauseLeftMs(nowMs));
    }

    /**
     * Returns when the first upstream of a service takes requests again, where pauses and used-up
     * rate limits keep requests from all.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @return the time in milliseconds from now on; empty where one takes requests now
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

    /** Returns the cheapest that is not paused; where all are, the cheapest of them. */
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

    /** Returns where the shared parts of a prompt most likely lie: the same upstream on all VMs. */
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

    /** Returns by how much the own load is multiplied, for the VMs that are not heard. */
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
