package org.hornbeampass.router.daemon;

import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.relay.RelaySettings;
import org.hornbeampass.state.DomainRegions;
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
 * @param name the name of the VM, for logs
 * @param region the region of the VM
 * @param domain the failure domain of the VM
 * @param listen the addresses on which the daemon listens
 * @param platform the address of the platform's store
 * @param cluster the key that all routers share
 * @param seeds peer addresses of other routers to contact first
 * @param relay the limits of retries
 * @param graceMs how long a shutdown may take before the process is killed, in milliseconds
 * @param keepAddressesMs how long callers may cache an answer about addresses, in milliseconds
 * @param domainRegions the region of each failure domain
 * @param upstreamHeartbeatMs the interval at which upstreams renew their entries, in milliseconds
 * @param budgetShards the number of records in the store over which the budgets are spread; must be
 *     the same on all VMs
 * @param evacuations whether operators may evacuate failure domains, which the store is then
 *     watched for
 * @param load what the VM can carry and how scarce capacity is shared
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
        DomainRegions domainRegions,
        long upstreamHeartbeatMs,
        int budgetShards,
        boolean evacuations,
        LoadSettings load) {
    /** Copies the list, so that the settings are immutable. */
    public RelayDaemonSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns these settings with those values of newer ones that can change while the daemon runs:
     * the limits of retries, the seeds, and how long addresses may be cached.
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
                domainRegions,
                upstreamHeartbeatMs,
                budgetShards,
                evacuations,
                load);
    }

    /**
     * Returns the names of the settings that differ from newer ones but take effect only at a
     * start.
     */
    List<String> changesThatNeedRestart(RelayDaemonSettings newer) {
        List<String> names = new ArrayList<>();
        add(names, "name", name, newer.name);
        add(names, "region", region, newer.region);
        add(names, "failure_domain", domain, newer.domain);
        add(names, "listen", listen, newer.listen);
        add(names, "platform", platform, newer.platform);
        add(names, "cluster_key", cluster, newer.cluster);
        add(names, "grace", graceMs, newer.graceMs);
        add(names, "domains", domainRegions, newer.domainRegions);
        add(names, "upstream_heartbeat", upstreamHeartbeatMs, newer.upstreamHeartbeatMs);
        add(names, "slow_start", relay.slowStart(), newer.relay.slowStart());
        add(names, "budget_shards", budgetShards, newer.budgetShards);
        add(names, "watch_evacuations", evacuations, newer.evacuations);
        add(names, "capacity", load.capacity(), newer.load.capacity());
        add(names, "refuse_by_backlog", load.refuseByBacklog(), newer.load.refuseByBacklog());
        add(names, "pause_intake", load.pauseIntake(), newer.load.pauseIntake());
        add(names, "buffer_bytes", load.bufferBytes(), newer.load.bufferBytes());
        add(names, "admission", load.admission(), newer.load.admission());
        add(names, "routing", load.routing(), newer.load.routing());
        add(names, "upstream_limits", load.upstreamLimits(), newer.load.upstreamLimits());
        return names;
    }

    private static void add(List<String> names, String name, Object mine, Object newer) {
        if (!mine.equals(newer)) {
            names.add(name);
        }
    }

    /**
     * The addresses on which a VM listens.
     *
     * @param callers for callers' requests
     * @param directory for callers that request the addresses to use
     * @param readiness for checks whether this VM accepts requests
     * @param peers for messages of other routers
     * @param metrics for reading the metrics; empty if they are not served
     */
    public record Listen(
            InetSocketAddress callers,
            InetSocketAddress directory,
            InetSocketAddress readiness,
            InetSocketAddress peers,
            Optional<InetSocketAddress> metrics) {}
}
