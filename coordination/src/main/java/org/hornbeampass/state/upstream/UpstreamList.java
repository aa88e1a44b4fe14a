package org.hornbeampass.state.upstream;

import java.util.List;

/**
 * The platform's lagging list of upstreams at one version.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param version grows with each change of the list
 * @param upstreams the upstreams that it shows
 */
public record UpstreamList(long version, List<ListedUpstream> upstreams) {
    /** Copies the list. */
    public UpstreamList {
        upstreams = List.copyOf(upstreams);
    }
}
