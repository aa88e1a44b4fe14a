package org.hornbeampass.router.daemon;

import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.relay.RelaySettings;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
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
     * Returns these settings with all of newer ones that can change while the daemon runs: bounds
     * of retries, seeds, and how long addresses may be kept.
     */
    RelayDaemonSettings withReloadable(RelayDaemonSettings newer) {
        return new RelayDaemonSettings(
                name,
                region,
                domain,
                listen,
                platform,
                cluster,
                newer.seeds,
                newer.relay,
                graceMs,
                newer.keepAddressesMs,
                budgetShards);
    }

    /** Returns the names of the settings that differ and are read at the start only. */
    List<String> changesThatNeedRestart(RelayDaemonSettings newer) {
        List<String> names = new ArrayList<>();
        add(names, "name", name, newer.name);
        add(names, "region", region, newer.region);
        add(names, "failure_domain", domain, newer.domain);
        add(names, "listen", listen, newer.listen);
        add(names, "platform", platform, newer.platform);
        add(names, "cluster_key", cluster, newer.cluster);
        add(names, "grace", graceMs, newer.graceMs);
        add(names, "budget_shards", budgetShards, newer.budgetShards);
        return names;
    }

    private static void add(List<String> names, String name, Object mine, Object newer) {
        if (!mine.equals(newer)) {
            names.add(name);
        }
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
