package org.hornbeampass.state.service;

import org.hornbeampass.state.FailureDomain;

/**
 * One upstream as it has registered itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the identity of this life of the upstream; a restart takes another
 * @param service the service that it belongs to
 * @param address where it listens, as an IP number and a port; may belong to another upstream once
 *     this one has ended
 * @param domain its failure domain
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new requests
 */
public record UpstreamEntry(
        String id,
        String service,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving) {}
