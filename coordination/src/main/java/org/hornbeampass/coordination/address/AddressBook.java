package org.hornbeampass.coordination.address;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Selects the addresses that a caller should use, and the VMs that are homes of an organisation.
 *
 * <p>Invariants: an answer never contains a VM that is leaving or gone; it contains suspected VMs
 * only if fewer than two others are live, and then last; if VMs are live in two failure domains or
 * two regions, it contains VMs of at least two. Thread-safe: the homes are cached per organisation
 * for one view; the random number generator has its own lock, and no other lock is taken while it
 * is held.
 */
public final class AddressBook {
    private static final int MIN_LIVE = 2;
    private static final int OTHER_REGIONS_SHARE = 4;

    private final Supplier<MembershipView> mView;
    private final OrganisationDemand mDemand;
    private final AddressSettings mSettings;
    private final HomeSelector mSelector;
    private final Random mRandom;
    private final Map<OrganisationId, Homes> mHomes = new ConcurrentHashMap<>();

    /** Cached homes of an organisation in one view. */
    private record Homes(
            MembershipView view, double requestsPerSecond, List<Member> members, Set<VmId> vms) {}

    /**
     * Creates an address book.
     *
     * @param view returns the current view of the members
     * @param demand returns how much an organisation sends
     * @param settings limits of the answers
     * @param random distributes callers over equally good VMs
     */
    public AddressBook(
            Supplier<MembershipView> view,
            OrganisationDemand demand,
            AddressSettings settings,
            Random random) {
        mView = view;
        mDemand = demand;
        mSettings = settings;
        mSelector = new HomeSelector(settings);
        mRandom = random;
    }

    /** Returns whether a VM is a home of an organisation in the current view. */
    public boolean isHome(OrganisationId organisation, VmId vm) {
        return homesOf(mView.get(), organisation).vms().contains(vm);
    }

    /** Returns an organisation's homes that accept requests, region by region, the best first. */
    public List<Member> homes(OrganisationId organisation) {
        return homesOf(mView.get(), organisation).members();
    }

    private Homes homesOf(MembershipView view, OrganisationId organisation) {
        double rate = mDemand.requestsPerSecond(organisation);
        Homes cached = mHomes.get(organisation);
        if (cached != null && cached.view() == view && cached.requestsPerSecond() == rate) {
            return cached;
        }
        List<Member> members = mSelector.homes(view, organisation, rate);
        Set<VmId> vms = members.stream().map(Member::vm).collect(Collectors.toUnmodifiableSet());
        Homes homes = new Homes(view, rate, List.copyOf(members), vms);
        mHomes.put(organisation, homes);
        return homes;
    }

    /**
     * Returns the addresses that a caller should use.
     *
     * @param nowMs the current time in milliseconds
     * @param query what the caller reports about itself
     */
    public AddressAnswer answer(long nowMs, AddressQuery query) {
        MembershipView view = mView.get();
        List<Member> pool =
                query.organisation().map(o -> homesOf(view, o).members()).orElseGet(view::live);
        List<Member> live = shuffled(pool, m -> m.state() == MemberState.LIVE);
        if (live.size() < MIN_LIVE) {
            live = shuffled(view.live(), m -> true);
        }
        Set<Member> chosen = choose(live, query, regionOf(view, query));
        if (chosen.size() < MIN_LIVE) {
            chosen.addAll(shuffled(view.suspect(), m -> true));
        }
        List<AddressAnswer.VmAddress> addresses =
                chosen.stream()
                        .limit(mSettings.maxAddresses())
                        .map(AddressAnswer.VmAddress::of)
                        .toList();
        boolean settled = view.suspect().isEmpty();
        return new AddressAnswer(
                addresses, settled ? mSettings.keepMs() : mSettings.unsettledKeepMs());
    }

    private static Optional<Region> regionOf(MembershipView view, AddressQuery query) {
        return query.region()
                .or(
                        () ->
                                query.domain().stream()
                                        .flatMap(d -> view.inDomain(d).stream())
                                        .map(Member::region)
                                        .findFirst());
    }

    /**
     * Chooses VMs near the caller first, but reserves places for other failure domains and regions.
     */
    private Set<Member> choose(List<Member> live, AddressQuery query, Optional<Region> region) {
        Predicate<Member> near = m -> query.domain().filter(m.domain()::equals).isPresent();
        Predicate<Member> inRegion = m -> region.filter(m.region()::equals).isPresent();
        int max = mSettings.maxAddresses();
        int reserved = Math.max(1, max / OTHER_REGIONS_SHARE);
        Set<Member> chosen = new LinkedHashSet<>();
        addMatching(chosen, live, near, max - 2 * reserved);
        addMatching(chosen, live, inRegion.and(near.negate()), max - reserved);
        if (region.isEmpty()) {
            addMatching(chosen, live, m -> true, max);
        }
        addMatching(chosen, live, inRegion.negate(), max);
        addMatching(chosen, live, m -> true, max);
        return chosen;
    }

    private static void addMatching(
            Set<Member> chosen, List<Member> live, Predicate<Member> wanted, int upTo) {
        for (Member member : live) {
            if (chosen.size() >= upTo) {
                return;
            }
            if (wanted.test(member)) {
                chosen.add(member);
            }
        }
    }

    private List<Member> shuffled(List<Member> members, Predicate<Member> wanted) {
        List<Member> shuffled = new ArrayList<>(members.stream().filter(wanted).toList());
        synchronized (mRandom) {
            Collections.shuffle(shuffled, mRandom);
        }
        return shuffled;
    }
}
