package org.hornbeampass.state.service;

import org.hornbeampass.state.FailureDomain;

import java.util.OptionalLong;

/**
 * One upstream as it has registered itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the identity of the upstream; it may start again under the same one
 * @param bornMs when this incarnation of it started, in milliseconds of the Unix epoch; a later one
 *     is another incarnation; empty where the installation does not tell
 * @param service the service that it belongs to
 * @param address where it listens, as an IP number and a port; may belong to another upstream once
 *     this one has ended
 * @param domain its failure domain
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new requests
 */
public record UpstreamEntry(
        String id,
        OptionalLong bornMs,
        String service,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving) {
    /**
     * Returns whether this is an entry of a later incarnation than another entry of the same id.
     */
    public boolean startedAfter(UpstreamEntry other) {
        return bornMs.isPresent()
                && (other.bornMs.isEmpty() || bornMs.getAsLong() > other.bornMs.getAsLong());
    }
}
