package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.Platform;

/**
 * Where an experiment may cut a router's links; a router in service has {@link #NONE}.
 *
 * <p>Invariant: a hook can only take links away, never change what goes over them. Implementations
 * are thread-safe and must not block.
 */
public interface LinkFaults {
    /** Leaves every link as it is. */
    LinkFaults NONE = new LinkFaults() {};

    /** Returns the platform as the router reaches it. */
    default Platform platform(Platform platform) {
        return platform;
    }

    /** Returns whether what this router sends to another one arrives there. */
    default boolean deliversTo(String vmName) {
        return true;
    }

    /** Returns whether what another router answers arrives here. */
    default boolean receivesFrom(String vmName) {
        return true;
    }
}
