package org.hornbeampass.state.upstream;

import org.hornbeampass.state.UpstreamId;

import java.util.Objects;

/**
 * An entry of the platform's list of upstreams.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the upstream
 * @param incarnation a number that increases with each start of the upstream; 0 if it has none
 * @param leaving whether the list marks it as leaving
 */
public record ListedUpstream(UpstreamId id, long incarnation, boolean leaving) {
    /** Checks that no part is missing. */
    public ListedUpstream {
        Objects.requireNonNull(id, "id");
    }
}
