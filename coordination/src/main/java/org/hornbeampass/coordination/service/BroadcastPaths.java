package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The VMs to which a VM sends messages that are meant for all VMs.
 *
 * <p>In a small fleet each VM sends to all others. In a larger one it sends to one VM of its
 * failure domain, the relay, which forwards to the relays of the other failure domains and to the
 * VMs of its own. While VMs disagree about the members, they may choose different relays, and some
 * messages don't reach all VMs. Immutable; safe for use by any thread.
 *
 * @param self this VM's name
 * @param relay the relay of this VM's failure domain; empty where VMs send to each other directly
 * @param directPeers the other VMs of this VM's failure domain, or all other VMs where there are no
 *     relays
 * @param otherRelays the relays of the other failure domains
 */
public record BroadcastPaths(
        String self, Optional<String> relay, List<String> directPeers, List<String> otherRelays) {
    /** Copies the lists. */
    public BroadcastPaths {
        directPeers = List.copyOf(directPeers);
        otherRelays = List.copyOf(otherRelays);
    }

    /**
     * Chooses the paths of one VM.
     *
     * @param self the VM
     * @param live the VMs that are up, this one included
     */
    public static BroadcastPaths choose(Member self, List<Member> live) {
        List<String> others =
                live.stream().map(Member::name).filter(n -> !n.equals(self.name())).toList();
        if (others.size() <= LoadExchange.MAX_DIRECT_PEERS) {
            return new BroadcastPaths(self.name(), Optional.empty(), others, List.of());
        }
        Map<FailureDomain, List<String>> byDomain =
                live.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Member::domain,
                                        Collectors.mapping(Member::name, Collectors.toList())));
        Map<String, String> relays = new TreeMap<>();
        byDomain.forEach((domain, names) -> relays.put(domain.value(), relay(domain, names)));
        String own = relays.remove(self.domain().value());
        List<String> directPeers = new ArrayList<>(byDomain.getOrDefault(self.domain(), List.of()));
        directPeers.remove(self.name());
        return new BroadcastPaths(
                self.name(), Optional.ofNullable(own), directPeers, List.copyOf(relays.values()));
    }

    private static String relay(FailureDomain domain, List<String> candidates) {
        return RendezvousHash.choose("load-" + domain.value(), candidates).orElseThrow();
    }

    /** Returns whether this VM is the relay of its failure domain. */
    public boolean isRelay() {
        return relay.isPresent() && relay.get().equals(self);
    }

    /** Returns the VMs to which this VM sends a message that is meant for all VMs. */
    public List<String> broadcastTargets() {
        if (!isRelay()) {
            return relay.map(List::of).orElse(directPeers);
        }
        List<String> all = new ArrayList<>(directPeers);
        all.addAll(otherRelays);
        return all;
    }

    /**
     * Returns a function that computes the paths of a VM and caches them while the members stay the
     * same.
     */
    public static Function<List<Member>, BroadcastPaths> cachedChooser(Member self) {
        return new Function<>() {
            private List<Member> mMembers = List.of();
            private BroadcastPaths mPaths = choose(self, List.of());

            @Override
            public BroadcastPaths apply(List<Member> live) {
                if (!live.equals(mMembers)) {
                    mMembers = List.copyOf(live);
                    mPaths = choose(self, live);
                }
                return mPaths;
            }
        };
    }
}
