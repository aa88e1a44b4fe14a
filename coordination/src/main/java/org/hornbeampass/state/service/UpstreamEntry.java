package org.hornbeampass.state.service;

import org.hornbeampass.state.FailureDomain;

import java.util.OptionalLong;

/**
 * The registration of one upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param id the identity of the upstream, which it keeps when it is restarted
 * @param bornMs when this incarnation started, in milliseconds since the Unix epoch, which
 *     distinguishes the incarnations of an upstream; empty if it is not registered
 * @param service the name of its service
 * @param address its IP address and port; another upstream may use the same address after this one
 *     has ended
 * @param domain its failure domain
 * @param slots how many requests it runs concurrently
 * @param leaving whether it accepts no new requests
 * @param coldLeftMs how much longer it is in its slow start, in milliseconds, when the entry was
 *     written; 0 where it is not
 * @param softwareVersion the version of the software that it runs; what two versions write does not
 *     fit together in one stream
 */
public record UpstreamEntry(
        String id,
        OptionalLong bornMs,
        String service,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        long coldLeftMs,
        String softwareVersion) {
    /** Creates the entry of an upstream that states no version. */
    public UpstreamEntry(
            String id,
            OptionalLong bornMs,
            String service,
            String address,
            FailureDomain domain,
            int slots,
            boolean leaving,
            long coldLeftMs) {
        this(id, bornMs, service, address, domain, slots, leaving, coldLeftMs, "");
    }

    /** Creates the entry of an upstream that is not in its slow start and states no version. */
    public UpstreamEntry(
            String id,
            OptionalLong bornMs,
            String service,
            String address,
            FailureDomain domain,
            int slots,
            boolean leaving) {
        this(id, bornMs, service, address, domain, slots, leaving, 0);
    }

    /** Returns whether this entry is of a later incarnation than another entry of the same id. */
    public boolean startedAfter(UpstreamEntry other) {
        return bornMs.isPresent()
                && (other.bornMs.isEmpty() || bornMs.getAsLong() > other.bornMs.getAsLong());
    }
}
