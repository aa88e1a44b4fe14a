package org.hornbeampass.coordination.ratelimit;

import java.util.Optional;

/**
 * Determines which VM is the home of an upstream, which issues its permits, according to one VM's
 * view of the fleet.
 *
 * <p>VMs that know the same members choose the same home. Confined to one thread.
 */
public interface PermitHomeResolver {
    /**
     * Returns the name of the VM that issues an upstream's permits; empty while this VM does not
     * know enough members of the fleet.
     */
    Optional<String> homeOf(String upstream);

    /** Returns this VM's name. */
    String self();
}
