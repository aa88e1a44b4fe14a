package org.hornbeampass.coordination.service;

import org.hornbeampass.state.FailureDomain;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains whose upstreams get no requests because an operator has evacuated them.
 *
 * <p>Invariant: a domain is evacuated from its {@link #begin} to its {@link #end}, however often
 * each is reported. Confined to one thread.
 */
public final class EvacuatedDomains {
    private final Map<FailureDomain, Long> mSinceMs = new HashMap<>();

    /**
     * Marks a failure domain as evacuated.
     *
     * @param nowMs the present time in milliseconds
     * @param domain the failure domain
     * @return whether it was not evacuated before
     */
    public boolean begin(long nowMs, FailureDomain domain) {
        return mSinceMs.putIfAbsent(domain, nowMs) == null;
    }

    /**
     * Ends the evacuation of a failure domain.
     *
     * @param nowMs the present time in milliseconds
     * @param domain the failure domain
     * @return for how long this VM knew of the evacuation, in milliseconds; empty where it knew of
     *     none
     */
    public OptionalLong end(long nowMs, FailureDomain domain) {
        Long sinceMs = mSinceMs.remove(domain);
        return sinceMs == null ? OptionalLong.empty() : OptionalLong.of(nowMs - sinceMs);
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean contains(FailureDomain domain) {
        return mSinceMs.containsKey(domain);
    }

    /** Returns the evacuated failure domains. */
    public Set<FailureDomain> all() {
        return new TreeSet<>(mSinceMs.keySet());
    }
}
