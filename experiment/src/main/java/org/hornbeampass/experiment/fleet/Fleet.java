package org.hornbeampass.experiment.fleet;

import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.platform.CallLimits;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.admin.KeyGenerator;
import org.hornbeampass.router.admin.OperatorKey;
import org.hornbeampass.router.daemon.RouterDaemon;
import org.hornbeampass.router.daemon.RouterSettings;
import org.hornbeampass.standin.engine.EngineSettings;
import org.hornbeampass.standin.engine.EngineStandIn;
import org.hornbeampass.standin.engine.EngineTiming;
import org.hornbeampass.standin.platform.PlatformStandIn;
import org.hornbeampass.standin.service.ServiceSettings;
import org.hornbeampass.standin.service.ServiceStandIn;
import org.hornbeampass.transport.platform.PlatformSettings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A platform, engines, plain services and routers in one JVM, all on loopback at free ports.
 *
 * <p>A router's place in the list stays its own when it is replaced. Thread-safe, so long as no two
 * threads stop or start the same router.
 */
public final class Fleet implements AutoCloseable {
    /** The operator's key of every router here. */
    public static final String OPERATOR_KEY = "operator-key-of-the-demo";

    private static final String CLUSTER_KEY = "cluster-key-of-the-demo-fleet";
    private static final String PLATFORM_KEY = "platform-key-of-the-demo";
    private static final long WAIT_MS = 30_000;
    private static final long SHUTDOWN_MS = 120_000;
    private static final int SEEDS = 3;
    private static final String VM_PREFIX = "vm-";

    private final FleetSpec mSpec;
    private final PlatformStandIn mPlatform;
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private final List<ServiceStandIn> mServices = new ArrayList<>();
    private final List<RouterDaemon> mRouters = new CopyOnWriteArrayList<>();
    private final LinkTable mLinks = new LinkTable();

    private Fleet(FleetSpec spec) {
        mSpec = spec;
        mPlatform =
                PlatformStandIn.start(
                        org.hornbeampass.standin.platform.PlatformSettings.defaults()
                                .withKey(PLATFORM_KEY));
    }

    /** Starts a fleet and waits until each router is ready. */
    public static Fleet start(FleetSpec spec) {
        Fleet fleet = new Fleet(spec);
        for (int i = 0; i < spec.engines(); i++) {
            fleet.mEngines.add(EngineStandIn.start(engine(spec)));
        }
        for (int i = 0; i < spec.services(); i++) {
            fleet.mServices.add(ServiceStandIn.start(ServiceSettings.defaults()));
        }
        for (int i = 0; i < spec.routers(); i++) {
            fleet.mRouters.add(fleet.startRouter(i));
        }
        fleet.awaitReady();
        return fleet;
    }

    private static EngineSettings engine(FleetSpec spec) {
        EngineSettings defaults = EngineSettings.defaults(spec.model());
        return defaults.withTiming(timing(spec, defaults.timing()));
    }

    private static EngineTiming timing(FleetSpec spec, EngineTiming other) {
        return new EngineTiming(
                spec.stepMs(),
                other.stepPerSequenceMs(),
                other.prefillPerTokenMs(),
                other.prefillTokensPerStep(),
                other.maxBatch(),
                other.maxWaiting(),
                other.cacheBlocks());
    }

    private RouterSettings settings(int n) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new RouterSettings(
                new RouterSettings.Place(
                        vmName(n), OptionalLong.empty(), mSpec.region(), mSpec.domain(n)),
                new RouterSettings.Listen(
                        any,
                        any,
                        any,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()),
                new RouterSettings.Keys(
                        Secret.of(CLUSTER_KEY),
                        List.of(new OperatorKey("demo", KeyGenerator.hash(OPERATOR_KEY)))),
                new PlatformSettings(
                        List.of(URI.create(mPlatform.uri())),
                        Secret.of(PLATFORM_KEY),
                        1_000,
                        2_000),
                new CallLimits(500, 200, 50, 1, 1_000),
                seeds(n),
                RouterSettings.Limits.defaults(),
                new RouterSettings.Execution(2, OptionalLong.empty()));
    }

    private List<Seed> seeds(int self) {
        List<Seed> seeds = new ArrayList<>();
        for (int i = 0; i < mRouters.size() && seeds.size() < SEEDS; i++) {
            if (i != self) {
                RouterDaemon router = mRouters.get(i);
                seeds.add(
                        new Seed(
                                router.vm().name(),
                                "127.0.0.1:" + router.peersAddress().getPort()));
            }
        }
        return seeds;
    }

    /** Waits until each router takes requests. */
    public void awaitReady() {
        await(
                "each router is ready",
                () -> mRouters.stream().allMatch(r -> r.notReady().isEmpty()));
    }

    private RouterDaemon startRouter(int n) {
        return RouterDaemon.start(settings(n), mLinks.hooks(vmName(n)));
    }

    /** Closes a router as a crash would and starts it anew under its name. */
    public void replaceAfterCrash(int n) {
        crash(n);
        replace(n);
    }

    /**
     * Closes a router as the death of its VM would: its links are cut first, so that nothing that
     * it still does while it is closed reaches another router or the platform.
     */
    public void crash(int n) {
        List<String> self = List.of(vmName(n));
        List<String> all = IntStream.range(0, mSpec.routers()).mapToObj(Fleet::vmName).toList();
        setCut(self, all, true);
        mRouters.get(n).close();
        setCut(self, all, false);
    }

    private void setCut(List<String> some, List<String> others, boolean cut) {
        mLinks.setPlatformCut(some, cut);
        mLinks.setCut(some, others, cut);
        mLinks.setCut(others, some, cut);
    }

    /** Starts a router that was closed anew under its name. */
    public void replace(int n) {
        mRouters.set(n, startRouter(n));
    }

    /** Shuts a router down gracefully and starts it anew under its name. */
    public void restart(int n) {
        shutDown(n);
        replace(n);
    }

    /** Shuts a router down gracefully, without a bound on how long its requests take. */
    public void shutDown(int n) {
        mRouters.get(n).shutDown().orTimeout(SHUTDOWN_MS, TimeUnit.MILLISECONDS).join();
    }

    /** Returns the VM name of the nth router. */
    public static String vmName(int n) {
        return VM_PREFIX + n;
    }

    /** Returns which links are cut. */
    public LinkTable links() {
        return mLinks;
    }

    /** Returns a console that reaches each router. */
    public OperatorConsole console() {
        String servers =
                mRouters.stream()
                        .map(r -> "http://127.0.0.1:" + r.operatorsAddress().getPort())
                        .collect(Collectors.joining(","));
        return new OperatorConsole(servers, OPERATOR_KEY);
    }

    /** Returns where callers reach a router, as {@code host:port}. */
    public String callersAddress(int n) {
        return "127.0.0.1:" + mRouters.get(n).callersAddress().getPort();
    }

    /** Returns the fleet's size. */
    public FleetSpec spec() {
        return mSpec;
    }

    /** Returns the platform. */
    public PlatformStandIn platform() {
        return mPlatform;
    }

    /** Returns the engines. */
    public List<EngineStandIn> engines() {
        return List.copyOf(mEngines);
    }

    /** Returns the instances of the plain service. */
    public List<ServiceStandIn> services() {
        return List.copyOf(mServices);
    }

    /** Returns the routers. */
    public List<RouterDaemon> routers() {
        return List.copyOf(mRouters);
    }

    /** Waits until something holds, within half a minute. */
    public static void await(String what, BooleanSupplier holds) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("not so within " + WAIT_MS + " ms: " + what);
            }
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public void close() {
        mRouters.forEach(RouterDaemon::close);
        mLinks.close();
        mEngines.forEach(EngineStandIn::close);
        mServices.forEach(ServiceStandIn::close);
        mPlatform.close();
    }
}
