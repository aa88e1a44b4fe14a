package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.platform.CallLimits;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.admin.OperatorKey;
import org.hornbeampass.router.front.RequestLimits;
import org.hornbeampass.router.serve.ServeSettings;
import org.hornbeampass.router.upstream.UpstreamSettings;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.transport.platform.PlatformSettings;
import org.hornbeampass.transport.tls.TlsFiles;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The settings of one router daemon.
 *
 * <p>Immutable; safe for use by any thread. Documented field by field in docs/SETTINGS.md.
 *
 * @param place who and where this VM is
 * @param listen where it listens
 * @param keys the keys that it checks and shows
 * @param platform how to reach the platform
 * @param calls this VM's share of the platform's limits
 * @param seeds VMs to ask first
 * @param limits bounds and waits of requests
 * @param execution threads and shutdown
 * @param objectives what is promised of requests, for the burn report
 */
public record RouterSettings(
        Place place,
        Listen listen,
        Keys keys,
        PlatformSettings platform,
        CallLimits calls,
        List<Seed> seeds,
        Limits limits,
        Execution execution,
        Objectives objectives) {
    /** Makes settings with the usual service-level objectives. */
    public RouterSettings(
            Place place,
            Listen listen,
            Keys keys,
            PlatformSettings platform,
            CallLimits calls,
            List<Seed> seeds,
            Limits limits,
            Execution execution) {
        this(place, listen, keys, platform, calls, seeds, limits, execution, Objectives.defaults());
    }

    /** Copies the list. */
    public RouterSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Who and where a VM is.
     *
     * @param name its name, the same after each restart
     * @param incarnation its incarnation; where empty, the time of its start in milliseconds
     * @param region its region
     * @param domain its failure domain
     */
    public record Place(
            String name, OptionalLong incarnation, Region region, FailureDomain domain) {}

    /**
     * Where a VM listens; port 0 for any free one.
     *
     * @param callers for callers
     * @param operators for operators
     * @param peers for other routers
     * @param advertisedCallers the address that callers are told; where empty, the one listened on
     * @param advertisedPeers the address that other routers are told
     * @param tls the PEM files of the listeners for callers and operators
     * @param peerTls the PEM files between routers
     */
    public record Listen(
            InetSocketAddress callers,
            InetSocketAddress operators,
            InetSocketAddress peers,
            Optional<String> advertisedCallers,
            Optional<String> advertisedPeers,
            Optional<TlsFiles> tls,
            Optional<TlsFiles> peerTls) {}

    /**
     * The keys that a VM checks and shows.
     *
     * @param cluster the key that all routers share
     * @param operators operators' keys, hashed
     */
    public record Keys(Secret cluster, List<OperatorKey> operators) {
        /** Copies the list. */
        public Keys {
            operators = List.copyOf(operators);
        }
    }

    /**
     * Bounds and waits of requests.
     *
     * @param front what callers may send
     * @param upstream attempts at upstreams
     * @param serve waits inside the router
     */
    public record Limits(RequestLimits front, UpstreamSettings upstream, ServeSettings serve) {
        /** Returns the bounds and waits for which figures are published. */
        public static Limits defaults() {
            return new Limits(
                    RequestLimits.defaults(),
                    UpstreamSettings.defaults(),
                    ServeSettings.defaults());
        }
    }

    /**
     * Threads and shutdown.
     *
     * @param workers event loops that serve requests
     * @param maxDrainMs how long a shutdown may wait for requests, in milliseconds; where empty, as
     *     long as they take
     */
    public record Execution(int workers, OptionalLong maxDrainMs) {}
}
