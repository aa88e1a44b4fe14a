package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.Platform;

/**
 * The links of a router that an experiment cuts; a router in production uses {@link #NONE}.
 *
 * <p>Invariant: an implementation can only cut links, never change what is sent over them.
 * Implementations are thread-safe and must not block.
 */
public interface LinkFaults {
    /** Cuts no link. */
    LinkFaults NONE = new LinkFaults() {};

    /** Returns a platform whose calls fail while the link to the given platform is cut. */
    default Platform platform(Platform platform) {
        return platform;
    }

    /** Returns whether messages of this router to another one are delivered. */
    default boolean deliversTo(String vmName) {
        return true;
    }

    /** Returns whether replies of another router to this one are delivered. */
    default boolean receivesFrom(String vmName) {
        return true;
    }
}
