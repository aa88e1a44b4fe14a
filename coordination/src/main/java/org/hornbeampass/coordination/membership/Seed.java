package org.hornbeampass.coordination.membership;

import java.util.Objects;

/**
 * VM to contact first when this VM starts.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its VM name
 * @param peerAddress where it listens for other routers, as {@code host:port}
 */
public record Seed(String name, String peerAddress) {
    /** Checks that no component is null. */
    public Seed {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
