package org.hornbeampass.coordination.ratelimit;

import java.util.Optional;

/**
 * Tells which VM gives out the permits of an upstream, as one VM believes it.
 *
 * <p>VMs that know the same members choose alike. Confined to one thread.
 */
public interface PermitHomeResolver {
    /**
     * Returns the name of the VM that gives out an upstream's permits; empty while this VM knows
     * too little of the fleet to tell.
     */
    Optional<String> homeOf(String upstream);

    /** Returns this VM's name. */
    String self();
}
