package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides which upstreams need permits of one kind, which VM issues them and at what rate.
 *
 * <p>Confined to one thread.
 */
interface PermitPolicy {
    /** Returns the kind of its permits. */
    PermitKind kind();

    /**
     * Returns the rate at which all VMs together may send requests to an upstream; empty where no
     * permits are needed.
     */
    OptionalDouble perSecond(long nowMs, UpstreamIncarnation upstream);

    /**
     * Returns the name of the VM from which this VM gets its next permit; empty while it knows
     * none.
     */
    Optional<String> issuer(UpstreamIncarnation upstream);

    /** Returns the message that requests a permit from its issuer. */
    PeerMessage request(long nowMs, UpstreamIncarnation upstream);

    /** Grants or denies a permit as its issuer. */
    PermitReply issue(long nowMs, UpstreamIncarnation upstream);

    /** Discards what is no longer needed. */
    void tick(long nowMs);
}
