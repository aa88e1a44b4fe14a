package org.hornbeampass.state.upstream;

import java.util.List;

/**
 * The platform's list of upstreams at one version, which may lag behind the actual state.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param version increases with each change of the list
 * @param upstreams the listed upstreams
 */
public record UpstreamList(long version, List<ListedUpstream> upstreams) {
    /** Copies the list. */
    public UpstreamList {
        upstreams = List.copyOf(upstreams);
    }
}
