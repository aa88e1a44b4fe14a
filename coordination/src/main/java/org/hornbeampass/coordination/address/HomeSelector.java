package org.hornbeampass.coordination.address;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MembershipView;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the homes of an organisation: a few VMs in each region, spread evenly over the region's
 * failure domains.
 *
 * <p>Invariants: VMs with the same members in their views choose the same homes; a smaller number
 * of homes is a subset of a larger one; a suspected VM remains a home until it is gone, so that a
 * false suspicion moves no home; a leaving VM is no home. Immutable; safe for use by any thread.
 */
final class HomeSelector {
    private final AddressSettings mSettings;

    HomeSelector(AddressSettings settings) {
        mSettings = settings;
    }

    /**
     * Returns the number of homes per region for a request rate: the minimum times a power of two.
     */
    int homesPerRegion(double requestsPerSecond, int regions) {
        double wanted = requestsPerSecond / mSettings.requestsPerVm() / Math.max(1, regions);
        int homes = mSettings.minHomesPerRegion();
        while (homes < wanted && homes < Integer.MAX_VALUE / 2) {
            homes *= 2;
        }
        return homes;
    }

    /**
     * Returns the homes, region by region in the order of region names, the best of each region
     * first.
     */
    List<Member> homes(MembershipView view, OrganisationId organisation, double requestsPerSecond) {
        Map<Region, Map<FailureDomain, List<Member>>> membersByDomain = new TreeMap<>();
        for (Member member : view.members()) {
            if (member.state().takesRequests()) {
                membersByDomain
                        .computeIfAbsent(member.region(), r -> new TreeMap<>())
                        .computeIfAbsent(member.domain(), d -> new ArrayList<>())
                        .add(member);
            }
        }
        int perRegion = homesPerRegion(requestsPerSecond, membersByDomain.size());
        List<Member> homes = new ArrayList<>();
        for (Map<FailureDomain, List<Member>> domains : membersByDomain.values()) {
            homes.addAll(homesInRegion(domains, organisation.value(), perRegion));
        }
        return homes;
    }

    /** Chooses the best VM of each failure domain in turn until there are enough. */
    private static List<Member> homesInRegion(
            Map<FailureDomain, List<Member>> domains, String key, int count) {
        List<List<Member>> ranked = new ArrayList<>();
        for (FailureDomain domain : ranked(key, domains.keySet())) {
            ranked.add(rankedByName(key, domains.get(domain)));
        }
        List<Member> chosen = new ArrayList<>();
        for (int rank = 0; chosen.size() < count; rank++) {
            int before = chosen.size();
            for (List<Member> domain : ranked) {
                if (rank < domain.size() && chosen.size() < count) {
                    chosen.add(domain.get(rank));
                }
            }
            if (chosen.size() == before) {
                break;
            }
        }
        return chosen;
    }

    private static List<Member> rankedByName(String key, List<Member> members) {
        Map<String, Member> byName = new TreeMap<>();
        members.forEach(m -> byName.put(m.name(), m));
        return ranked(key, byName.keySet()).stream().map(byName::get).toList();
    }

    private static <M extends Comparable<? super M>> List<M> ranked(String key, Set<M> members) {
        return RendezvousHash.choose(key, members, members.size());
    }
}
