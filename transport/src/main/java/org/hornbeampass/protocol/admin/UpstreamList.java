package org.hornbeampass.protocol.admin;

import java.util.List;
import java.util.Optional;

/**
 * One page of upstreams.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the upstreams in the order of their names
 * @param next the name after which the next page starts; empty on the last page
 */
public record UpstreamList(List<UpstreamView> items, Optional<String> next) {
    /** Copies the list. */
    public UpstreamList {
        items = List.copyOf(items);
    }
}
