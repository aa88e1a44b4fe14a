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
 * Decides on which VMs an organisation is at home: in each region a few, spread evenly over the
 * region's failure domains.
 *
 * <p>Invariants: VMs that know the same members choose the same homes; a smaller number of homes is
 * a subset of a larger one; a suspected VM keeps its place until it is gone, so that a false
 * suspicion moves nothing; a leaving VM has none. Immutable; safe for use by any thread.
 */
final class HomeSelector {
    private final AddressSettings mSettings;

    HomeSelector(AddressSettings settings) {
        mSettings = settings;
    }

    /**
     * Returns how many homes per region a rate of requests needs: a power of two times the least.
     */
    int homesPerRegion(double requestsPerSecond, int regions) {
        double wanted = requestsPerSecond / mSettings.requestsPerVm() / Math.max(1, regions);
        int homes = mSettings.minHomesPerRegion();
        while (homes < wanted && homes < Integer.MAX_VALUE / 2) {
            homes *= 2;
        }
        return homes;
    }

    /** Returns the homes, region by region in the order of names, each region's best first. */
    List<Member> homes(MembershipView view, OrganisationId organisation, double requestsPerSecond) {
        Map<Region, Map<FailureDomain, List<Member>>> places = new TreeMap<>();
        for (Member member : view.members()) {
            if (member.state().takesRequests()) {
                places.computeIfAbsent(member.region(), r -> new TreeMap<>())
                        .computeIfAbsent(member.domain(), d -> new ArrayList<>())
                        .add(member);
            }
        }
        int perRegion = homesPerRegion(requestsPerSecond, places.size());
        List<Member> homes = new ArrayList<>();
        for (Map<FailureDomain, List<Member>> domains : places.values()) {
            homes.addAll(homesInRegion(domains, organisation.value(), perRegion));
        }
        return homes;
    }

    /** Takes the best VM of each failure domain in turn until there are enough. */
    private static List<Member> homesInRegion(
            Map<FailureDomain, List<Member>> domains, String key, int count) {
        List<List<Member>> ranked = new ArrayList<>();
        for (FailureDomain domain : ranked(key, domains.keySet())) {
            ranked.add(rankedByName(key, domains.get(domain)));
        }
        List<Member> chosen = new ArrayList<>();
        for (int place = 0; chosen.size() < count; place++) {
            int before = chosen.size();
            for (List<Member> domain : ranked) {
                if (place < domain.size() && chosen.size() < count) {
                    chosen.add(domain.get(place));
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
