package org.hornbeampass.coordination.stream;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the VMs that store the origin of a stream, in several failure domains.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class OriginHolders {
    /** In how many failure domains an origin is stored; one may be lost with the router. */
    private static final int DOMAINS = 3;

    /**
     * How many VMs of a failure domain are asked: a VM that did not begin the stream does not know
     * which VM did, and that one stores it at the next VM instead of itself.
     */
    private static final int ASKED_PER_DOMAIN = 2;

    private OriginHolders() {}

    /**
     * Returns the VMs to which a VM sends the origin of a stream that it has begun.
     *
     * @param key the stream
     * @param others the other VMs that are up
     */
    static List<String> toTell(StreamKey key, List<Member> others) {
        return choose(key, others, 1);
    }

    /**
     * Returns the VMs that a VM asks for the origin of a stream.
     *
     * @param key the stream
     * @param others the other VMs that may be up
     */
    static List<String> toAsk(StreamKey key, List<Member> others) {
        return choose(key, others, ASKED_PER_DOMAIN);
    }

    private static List<String> choose(StreamKey key, List<Member> others, int perDomain) {
        Map<String, List<String>> byDomain = new TreeMap<>();
        for (Member each : others) {
            byDomain.computeIfAbsent(each.domain().value(), d -> new ArrayList<>())
                    .add(each.name());
        }
        String text = key.hashText();
        List<String> chosen = new ArrayList<>();
        for (String domain : RendezvousHash.choose(text, byDomain.keySet(), DOMAINS)) {
            chosen.addAll(RendezvousHash.choose(text, byDomain.get(domain), perDomain));
        }
        return chosen;
    }
}
