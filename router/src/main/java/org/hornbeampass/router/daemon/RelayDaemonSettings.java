package org.hornbeampass.router.daemon;

import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.relay.RelaySettings;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * The settings of one relay daemon.
 *
 * <p>Immutable; safe for use by any thread. Documented field by field in docs/SETTINGS.md.
 *
 * @param name its VM's name, for logs
 * @param region its region
 * @param domain its failure domain
 * @param listen where it listens
 * @param platform the address of the platform's store
 * @param cluster the key that all routers share
 * @param seeds where other routers may listen for this one
 * @param relay bounds of retries
 * @param graceMs how long a shutdown may take before the process is killed, in milliseconds
 * @param keepAddressesMs how long callers may keep an answer about addresses, in milliseconds
 * @param budgetShards in how many records of the store the budgets lie; the same on all VMs
 */
public record RelayDaemonSettings(
        String name,
        Region region,
        FailureDomain domain,
        Listen listen,
        URI platform,
        Secret cluster,
        List<InetSocketAddress> seeds,
        RelaySettings relay,
        long graceMs,
        long keepAddressesMs,
        int budgetShards) {
    /** Copies the list. */
    public RelayDaemonSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Where a VM listens.
     *
     * @param callers for callers' requests
     * @param directory for callers that ask which addresses to use
     * @param readiness for checks whether this VM takes requests
     * @param peers for other routers
     * @param metrics for its metrics
     */
    public record Listen(
            InetSocketAddress callers,
            InetSocketAddress directory,
            InetSocketAddress readiness,
            InetSocketAddress peers,
            Optional<InetSocketAddress> metrics) {}
}
