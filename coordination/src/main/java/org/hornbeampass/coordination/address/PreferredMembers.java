package org.hornbeampass.coordination.address;

import org.hornbeampass.state.Region;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.HomeRegions;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Narrows the VMs that an answer about addresses may name to those that serve the caller best.
 *
 * <p>Invariant: a preference that would leave too few VMs is not applied. Stateless; safe for use
 * by any thread.
 */
public final class PreferredMembers {
    /** The fewest VMs to name; where fewer reach the upstreams, the others forward to them. */
    private static final int MIN_REACHING = 2;

    private PreferredMembers() {}

    /**
     * Returns the VMs to name.
     *
     * @param candidates the VMs that may be named
     * @param homes the regions in which the caller's requests may run
     * @param callerRegion the caller's region, if known
     * @param withLostServices the names of the VMs that have lost their links to services, which
     *     are left out while at least two others may be named
     * @param overloaded the names of overloaded VMs, which are left out while they are the minority
     */
    public static List<Member> select(
            List<Member> candidates,
            HomeRegions homes,
            Optional<Region> callerRegion,
            Set<String> withLostServices,
            Set<String> overloaded) {
        Predicate<Member> near =
                m ->
                        homes.allows(m.region())
                                || callerRegion.filter(m.region()::equals).isPresent();
        List<Member> atHome = candidates.stream().filter(near).toList();
        List<Member> preferred = atHome.isEmpty() ? candidates : atHome;
        List<Member> reaching =
                preferred.stream().filter(m -> !withLostServices.contains(m.name())).toList();
        List<Member> eligible = reaching.size() >= MIN_REACHING ? reaching : preferred;
        List<Member> calm = eligible.stream().filter(m -> !overloaded.contains(m.name())).toList();
        return 2 * calm.size() > eligible.size() ? calm : eligible;
    }
}
