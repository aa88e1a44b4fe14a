package org.hornbeampass.coordination.service;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.HomeRegions;
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
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Holds all registered upstreams and chooses one for each request.
 *
 * <p>Invariants: an upstream that is leaving or gone is never chosen; the state of an upstream
 * belongs to one incarnation, and an older incarnation never replaces a newer one; an upstream that
 * is paused after failures is chosen only if all usable upstreams of its service are paused; an
 * upstream whose rate limit the fleet has used up, or whose failure domain is evacuated, is not
 * chosen. Confined to one thread.
 */
public final class UpstreamRegistry {
    /**
     * How long an upstream stays in use after its entry went missing in an outage of the platform,
     * in milliseconds. Entries are back within two seconds after an outage.
     */
    static final long MISSING_GRACE_MS = 1_900;

    /**
     * Time after the first entry in which unknown upstreams may have run for long, in milliseconds;
     * one that is added later has just started.
     */
    private static final long FIRST_ENTRIES_MS = 2_000;

    private final Map<String, UpstreamInstance> mById = new HashMap<>();
    private final Map<String, List<UpstreamInstance>> mByService = new HashMap<>();

    /** The last upstream that was registered at each address. */
    private final Map<String, UpstreamInstance> mByAddress = new HashMap<>();

    private final FormerUpstreams mFormer = new FormerUpstreams();
    private final SignalTable mSignals;
    private final SendGate mGate;
    private final FleetLoad mFleetLoad = new FleetLoad();
    private final UpstreamModels mModels;
    private final UpstreamSelector mSelector;
    private final Placement mPlacement;
    private final SlowStarts mSlowStarts;
    private final SoftwareVersions mVersions = new SoftwareVersions();
    private long mFirstEntryMs = Long.MAX_VALUE;

    /** Creates an empty registry for upstreams without signals, rate limits and restrictions. */
    public UpstreamRegistry(RandomGenerator random, IntSupplier vms) {
        this(
                random,
                vms,
                new SignalTable(),
                SendGate.OPEN,
                Placement.unrestricted(),
                new SlowStarts(),
                Optional.empty());
    }

    /** Creates an empty registry that compares upstreams by fixed values. */
    public UpstreamRegistry(
            RandomGenerator random,
            IntSupplier vms,
            SignalTable signals,
            SendGate gate,
            Placement placement,
            SlowStarts slowStarts) {
        this(random, vms, signals, gate, placement, slowStarts, Optional.empty());
    }

    /**
     * Creates an empty registry.
     *
     * @param random breaks ties
     * @param vms how many VMs send requests to the upstreams
     * @param signals the signals of upstreams' answers
     * @param gate decides which upstreams get no requests because of their rate limits
     * @param placement decides in which failure domains requests may run
     * @param slowStarts the upstreams in their slow start
     * @param routing what a choice by learnt models weighs; empty if upstreams are compared by
     *     fixed values
     */
    public UpstreamRegistry(
            RandomGenerator random,
            IntSupplier vms,
            SignalTable signals,
            SendGate gate,
            Placement placement,
            SlowStarts slowStarts,
            Optional<RoutingSettings> routing) {
        mSignals = signals;
        mGate = gate;
        mPlacement = placement;
        mSlowStarts = slowStarts;
        mModels = new UpstreamModels();
        mSelector =
                routing.<UpstreamSelector>map(
                                r -> new LearntCosts(r, random, vms, mFleetLoad, slowStarts))
                        .orElseGet(() -> new UpstreamCosts(random, vms, mFleetLoad, slowStarts));
    }

    /** Returns what has been learnt of the upstreams; empty unless choices depend on it. */
    public UpstreamModels models() {
        return mModels;
    }

    /** Returns the load that the other VMs reported. */
    public FleetLoad fleetLoad() {
        return mFleetLoad;
    }

    /**
     * The requests in progress.
     *
     * @param own those of this VM
     * @param mean the mean of this VM and of those that report their load
     */
    public record Requests(int own, double mean) {}

    /** Returns the requests in progress at this VM and on average. */
    public Requests requests() {
        int own = mById.values().stream().mapToInt(UpstreamInstance::inFlight).sum();
        return new Requests(own, (own + mFleetLoad.requests()) / (double) mFleetLoad.knownVms());
    }

    /** Returns this VM's own load, for the other VMs. */
    InFlightReport inFlight() {
        return new InFlightReport(
                mById.values().stream()
                        .filter(i -> i.inFlight() > 0)
                        .map(
                                i ->
                                        new InFlightReport.Item(
                                                i.id(),
                                                i.unreadTokens(),
                                                i.inFlight(),
                                                i.heldTokens()))
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
        mFirstEntryMs = Math.min(mFirstEntryMs, nowMs);
        boolean returned = mFormer.contains(entry);
        EntryResult result = apply(nowMs, entry);
        if (!result.isAccepted()) {
            return result;
        }
        mVersions.onSeen(nowMs, entry);
        UpstreamInstance instance = mById.get(entry.id());
        mSlowStarts.onStated(nowMs, instance, entry.coldLeftMs());
        boolean addedLater =
                result == EntryResult.ADDED
                        && !returned
                        && nowMs - mFirstEntryMs >= FIRST_ENTRIES_MS;
        if (addedLater || result == EntryResult.STARTED_AGAIN) {
            mSlowStarts.onStarted(nowMs, instance);
        }
        return result;
    }

    private EntryResult apply(long nowMs, UpstreamEntry entry) {
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
        mModels.remove(current.incarnation());
        add(entry);
        current.end(nowMs, entry);
        return EntryResult.STARTED_AGAIN;
    }

    private void update(UpstreamInstance current, UpstreamEntry entry) {
        mByAddress.remove(current.entry().address(), current);
        mByAddress.put(entry.address(), current);
        boolean serviceChanged = !current.entry().service().equals(entry.service());
        if (serviceChanged) {
            mByService.get(current.entry().service()).remove(current);
            mByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(current);
        }
        current.update(entry);
    }

    private void add(UpstreamEntry entry) {
        UpstreamInstance added = mFormer.instanceOf(entry);
        if (mSignals.get(added.incarnation()).leaving()) {
            added.markLeaving();
        }
        if (mSelector.learns()) {
            added.setModel(mModels.create(added.incarnation(), entry.service()));
        }
        mById.put(entry.id(), added);
        mByAddress.put(entry.address(), added);
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

    /** Returns the registered upstreams that have a rate limit or are in their slow start. */
    public Set<String> rateLimited(long nowMs) {
        return mById.values().stream()
                .filter(
                        i ->
                                mSignals.get(i.incarnation()).rateLimit().hasLimit()
                                        || mSlowStarts.isCold(nowMs, i.incarnation()))
                .map(UpstreamInstance::id)
                .collect(Collectors.toSet());
    }

    /**
     * Handles the end of an evacuation: the failure domain's upstreams may have become cold, which
     * their next entries state.
     *
     * @param nowMs the present time in milliseconds
     * @param domain the failure domain
     * @param untilNextEntryMs the longest time until their next entries, in milliseconds
     */
    public void onEvacuationEnded(long nowMs, FailureDomain domain, long untilNextEntryMs) {
        mById.values().stream()
                .filter(i -> i.entry().domain().equals(domain))
                .forEach(i -> mSlowStarts.onSuspected(nowMs, i, untilNextEntryMs));
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
        mSlowStarts.tick(nowMs);
        mVersions.tick(nowMs);
        mModels.tick(nowMs);
        mById.values().forEach(i -> mVersions.onSeen(nowMs, i.entry()));
        mById.values().removeIf(i -> forgetIfGone(nowMs, i));
        for (List<UpstreamInstance> instances : mByService.values()) {
            instances.removeIf(i -> i.isGone(nowMs) && i.inFlight() == 0);
        }
    }

    private boolean forgetIfGone(long nowMs, UpstreamInstance instance) {
        boolean removable = instance.isGone(nowMs) && instance.inFlight() == 0;
        if (removable) {
            mByAddress.remove(instance.entry().address(), instance);
            mFormer.add(nowMs, instance);
            mModels.remove(instance.incarnation());
            instance.end(nowMs);
        }
        return removable;
    }

    /**
     * Returns the upstreams of a service that may get requests. If at least half of them state
     * their incarnation, entries without one are left out, since upstreams did not write them. If
     * fewer do, those entries may come from another writer and must not exclude the rest.
     */
    List<UpstreamInstance> selectable(long nowMs, String service, HomeRegions homes) {
        List<UpstreamInstance> all = mByService.getOrDefault(service, List.of());
        int identified = 0;
        for (UpstreamInstance each : all) {
            identified += each.hasIncarnation() ? 1 : 0;
        }
        boolean requireIncarnation = identified > 0 && 2 * identified >= all.size();
        List<UpstreamInstance> selectable = new ArrayList<>(all.size());
        for (UpstreamInstance each : all) {
            boolean eligible =
                    mayReceive(nowMs, each, homes)
                            && (!requireIncarnation || each.hasIncarnation())
                            && each.hasPlace(mFleetLoad);
            if (eligible && mGate.waitMs(nowMs, each.incarnation()) == 0) {
                selectable.add(each);
            }
        }
        return selectable;
    }

    /**
     * Returns whether an upstream may be sent a request now; a pause after failures and rate limits
     * are not considered. Must be asked again right before the request is sent.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param homes the regions in which the request may run
     */
    public boolean mayReceive(long nowMs, UpstreamInstance instance, HomeRegions homes) {
        return instance.isUsable(nowMs) && mPlacement.allows(instance.entry().domain(), homes);
    }

    /**
     * Returns the slots of a service's usable upstreams and the fleet's requests in progress there.
     * Upstreams in evacuated failure domains are not counted.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     */
    public ServiceRoom room(long nowMs, String service) {
        int slots = 0;
        int inFlight = 0;
        for (UpstreamInstance each : mByService.getOrDefault(service, List.of())) {
            if (mayReceive(nowMs, each, HomeRegions.ANY)) {
                slots += each.entry().slots();
                inFlight += each.inFlight() + mFleetLoad.at(each.id()).requests();
            }
        }
        return new ServiceRoom(slots, inFlight);
    }

    /** Returns the addresses of a service's upstreams that may get requests. */
    public List<String> usableAddresses(long nowMs, String service) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(i -> i.isUsable(nowMs))
                .map(i -> i.entry().address())
                .toList();
    }

    /** Returns the service of the upstream at an address; empty if none is registered there. */
    public Optional<String> serviceAt(String address) {
        return Optional.ofNullable(mByAddress.get(address)).map(i -> i.entry().service());
    }

    /** Returns the software versions of the services. */
    public SoftwareVersions versions() {
        return mVersions;
    }

    /** Returns the upstreams in their slow start. */
    public SlowStarts slowStarts() {
        return mSlowStarts;
    }

    /** Returns the evacuated failure domains. */
    public EvacuatedDomains evacuated() {
        return mPlacement.evacuated();
    }

    /** Chooses the upstream of a request that may run in any region and at any version. */
    public Optional<UpstreamChoice> choose(
            long nowMs, ServiceSpec service, Prompt prompt, Set<String> tried) {
        return choose(nowMs, service, prompt, HomeRegions.ANY, version -> true, tried);
    }

    /**
     * Chooses the upstream of a request.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service
     * @param prompt the request's prompt
     * @param homes the regions in which the request may run
     * @param versions the software versions at which the request may run
     * @param tried upstreams to which the request was sent before, which are not chosen again
     */
    public Optional<UpstreamChoice> choose(
            long nowMs,
            ServiceSpec service,
            Prompt prompt,
            HomeRegions homes,
            Predicate<String> versions,
            Set<String> tried) {
        List<UpstreamInstance> selectable = selectable(nowMs, service.name(), homes);
        selectable.removeIf(i -> !versions.test(i.entry().softwareVersion()));
        return mSelector.choose(nowMs, service, prompt, tried, selectable);
    }

    /**
     * Returns whether evacuations alone keep a request from all upstreams of a service.
     *
     * @param nowMs the present time in milliseconds
     * @param service the service's name
     * @param homes the regions in which the request may run
     */
    public boolean isEvacuated(long nowMs, String service, HomeRegions homes) {
        List<UpstreamInstance> usable =
                mByService.getOrDefault(service, List.of()).stream()
                        .filter(i -> !i.isLeaving() && !i.isGone(nowMs))
                        .filter(i -> mPlacement.isHome(i.entry().domain(), homes))
                        .toList();
        return !usable.isEmpty()
                && usable.stream().allMatch(i -> evacuated().contains(i.entry().domain()));
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
                .filter(i -> !evacuated().contains(i.entry().domain()))
                .mapToLong(waitMs)
                .min()
                .stream()
                .filter(leftMs -> leftMs > 0)
                .findFirst();
    }
}
