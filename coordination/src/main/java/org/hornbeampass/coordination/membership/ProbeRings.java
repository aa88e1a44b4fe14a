package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the VMs that a VM probes: its successor on each of several hash rings of its own region,
 * and its successor among the VMs of each other region.
 *
 * <p>Invariant: where views agree, each VM is probed by one VM per ring of its region, which bounds
 * the number of connections and the time until a stopped VM is probed. Some VMs of each other
 * region are always probed from this region, unless all are gone, so that each region detects by
 * itself which VMs it can't reach. Immutable; safe for use by any thread.
 */
final class ProbeRings {
    private static final int CROSS_REGION_RING = 100;

    private final int mRings;

    ProbeRings(int rings) {
        mRings = rings;
    }

    /** Returns the VMs to probe in turn, without duplicates; empty if there is no other VM. */
    List<VmId> targets(MemberEntry self, Collection<MemberEntry> entries) {
        Set<VmId> targets = new LinkedHashSet<>();
        for (int ring = 0; ring < mRings; ring++) {
            successor(ring, self, entries, self.region()).ifPresent(targets::add);
        }
        entries.stream()
                .map(MemberEntry::region)
                .filter(r -> !r.equals(self.region()))
                .distinct()
                .forEach(
                        r ->
                                successor(CROSS_REGION_RING, self, entries, r)
                                        .ifPresent(targets::add));
        return new ArrayList<>(targets);
    }

    private static Optional<VmId> successor(
            int ring, MemberEntry self, Collection<MemberEntry> entries, Region region) {
        long own = ringPosition(ring, self.name());
        MemberEntry best = null;
        long bestDistance = 0;
        for (MemberEntry entry : entries) {
            if (entry == self || entry.health() == Health.GONE || !entry.region().equals(region)) {
                continue;
            }
            long distance = ringPosition(ring, entry.name()) - own;
            if (best == null || Long.compareUnsigned(distance, bestDistance) < 0) {
                best = entry;
                bestDistance = distance;
            }
        }
        return Optional.ofNullable(best).map(MemberEntry::vm);
    }

    private static long ringPosition(int ring, String name) {
        long hash = 0xCBF29CE484222325L + ring * 0x9E3779B97F4A7C15L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
        }
        hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
        return hash ^ (hash >>> 32);
    }
}
