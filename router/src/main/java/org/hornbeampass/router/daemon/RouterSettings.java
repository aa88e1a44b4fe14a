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
 * @param place the name and location of this VM
 * @param listen the addresses on which it listens
 * @param keys the keys that it verifies and presents
 * @param platform how to reach the platform
 * @param calls this VM's share of the platform's limits
 * @param seeds VMs to contact first
 * @param limits limits and timeouts of requests
 * @param execution threads and shutdown
 * @param objectives the service-level objectives of requests, for the burn report
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
    /** Creates settings with the default service-level objectives. */
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

    /** Copies the list, so that the settings are immutable. */
    public RouterSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The name and location of a VM.
     *
     * @param name the name of the VM, the same after each restart
     * @param incarnation the incarnation; if empty, the time of the start in milliseconds
     * @param region the region of the VM
     * @param domain the failure domain of the VM
     */
    public record Place(
            String name, OptionalLong incarnation, Region region, FailureDomain domain) {}

    /**
     * The addresses on which a VM listens; port 0 selects a free port.
     *
     * @param callers for callers
     * @param operators for operators
     * @param peers for other routers
     * @param advertisedCallers the address announced to callers; if empty, the one listened on
     * @param advertisedPeers the address announced to other routers; if empty, the one listened on
     * @param tls the PEM files of the listeners for callers and operators
     * @param peerTls the PEM files for connections between routers
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
     * The keys that a VM verifies and presents.
     *
     * @param cluster the key that all routers share
     * @param operators the hashed keys of operators
     */
    public record Keys(Secret cluster, List<OperatorKey> operators) {
        /** Copies the list, so that the settings are immutable. */
        public Keys {
            operators = List.copyOf(operators);
        }
    }

    /**
     * Limits and timeouts of requests.
     *
     * @param front limits of callers' requests
     * @param upstream limits and timeouts of attempts at upstreams
     * @param serve limits of waiting inside the router
     */
    public record Limits(RequestLimits front, UpstreamSettings upstream, ServeSettings serve) {
        /**
         * Returns the default limits and timeouts; the published performance figures apply to them.
         */
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
     * @param workers the number of event loops that serve requests
     * @param maxDrainMs how long a shutdown may wait for requests, in milliseconds; if empty, there
     *     is no limit
     */
    public record Execution(int workers, OptionalLong maxDrainMs) {}
}
