package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.platform.CallLimits;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.standin.engine.EngineSettings;
import org.hornbeampass.standin.engine.EngineStandIn;
import org.hornbeampass.standin.platform.PlatformStandIn;
import org.hornbeampass.standin.service.ServiceSettings;
import org.hornbeampass.standin.service.ServiceStandIn;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.config.WorkKind;
import org.hornbeampass.transport.platform.PlatformSettings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A platform, engines, a plain service and routers in one JVM, all on free ports of loopback.
 *
 * <p>Not thread-safe.
 */
final class TestFleet implements AutoCloseable {
    static final String KEY = "callers-key";
    static final OrganisationId ORGANISATION = new OrganisationId("iblei");
    static final BudgetKey BUDGET = new BudgetKey(ORGANISATION, new BudgetId("main"));

    private static final Region REGION = new Region("sicily");
    private static final FailureDomain DOMAIN = new FailureDomain("catania");
    private static final long WAIT_MS = 20_000;

    final PlatformStandIn mPlatform =
            PlatformStandIn.start(org.hornbeampass.standin.platform.PlatformSettings.defaults());
    final List<EngineStandIn> mEngines = new ArrayList<>();
    final ServiceStandIn mService = ServiceStandIn.start(ServiceSettings.defaults());
    final List<RouterDaemon> mRouters = new ArrayList<>();

    TestFleet(int engines) {
        for (int i = 0; i < engines; i++) {
            mEngines.add(EngineStandIn.start(EngineSettings.defaults("desk")));
        }
    }

    /** Starts a router and waits until it is ready. */
    RouterDaemon startRouter(String name) {
        RouterDaemon router = RouterDaemon.start(settings(name));
        mRouters.add(router);
        await(() -> router.notReady().isEmpty());
        return router;
    }

    private RouterSettings settings(String name) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new RouterSettings(
                new RouterSettings.Place(name, OptionalLong.empty(), REGION, DOMAIN),
                new RouterSettings.Listen(
                        any,
                        any,
                        any,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()),
                new RouterSettings.Keys(Secret.of("cluster-key-of-the-tests"), List.of()),
                new PlatformSettings(
                        List.of(URI.create(mPlatform.uri())), Secret.of("key"), 1_000, 2_000),
                new CallLimits(500, 200, 50, 1, 1_000),
                mRouters.stream()
                        .map(
                                r ->
                                        new org.hornbeampass.coordination.membership.Seed(
                                                r.vm().name(),
                                                "127.0.0.1:" + r.peersAddress().getPort()))
                        .toList(),
                RouterSettings.Limits.defaults(),
                new RouterSettings.Execution(2, OptionalLong.empty()));
    }

    /** Configures one organisation with all engines and the service, and tops up its budget. */
    void setUp(long paidTokens) {
        propose(new ConfigChange.PutTemplate(new Template("standard", parameters())));
        for (int i = 0; i < mEngines.size(); i++) {
            propose(new ConfigChange.PutUpstream(engine("engine-" + i, mEngines.get(i).uri())));
        }
        propose(
                new ConfigChange.PutUpstream(
                        new UpstreamSpec(
                                new UpstreamId("service-0"),
                                mService.uri(),
                                Optional.empty(),
                                Optional.of("records"),
                                DOMAIN,
                                REGION,
                                true,
                                64)));
        propose(
                new ConfigChange.PutOrganisation(
                        new OrganisationSpec(
                                ORGANISATION,
                                "standard",
                                Parameters.none(),
                                Set.of(BUDGET.budget()),
                                Map.of("first", sha256(KEY)))));
        topUp("t1", paidTokens);
        long revision = mRouters.get(0).coordination().config().snapshot().revision();
        await(
                () ->
                        mRouters.stream()
                                .allMatch(
                                        r ->
                                                r.coordination().config().snapshot().revision()
                                                        >= revision));
    }

    void topUp(String id, long tokens) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mRouters.get(0)
                .coordination()
                .accounts()
                .topUp(
                        System.currentTimeMillis(),
                        BUDGET,
                        id,
                        tokens,
                        (t, statement) -> done.complete(statement.isRight()));
        if (!done.orTimeout(WAIT_MS, TimeUnit.MILLISECONDS).join()) {
            throw new IllegalStateException("the top-up failed");
        }
    }

    /** Returns the settled tokens of the budget according to the platform's record. */
    long settledTokens() {
        CompletableFuture<Long> done = new CompletableFuture<>();
        new BudgetAdmin(new VmId("reader", 1), mPlatform.objects())
                .statement(
                        0,
                        ORGANISATION,
                        (t, statements) -> done.complete(statements.get().get(0).settled()));
        return done.orTimeout(WAIT_MS, TimeUnit.MILLISECONDS).join();
    }

    private static UpstreamSpec engine(String name, String uri) {
        return new UpstreamSpec(
                new UpstreamId(name),
                uri,
                Optional.of(new ModelId("desk")),
                Optional.empty(),
                DOMAIN,
                REGION,
                true,
                256);
    }

    private static Parameters parameters() {
        return new Parameters(
                Optional.of(Set.of(new ModelId("desk"))),
                Optional.empty(),
                Optional.of(Set.of("records")),
                Optional.of(Set.of(WorkKind.values())),
                Optional.empty(),
                Optional.of(1_000),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    void propose(ConfigChange change) {
        RouterDaemon router = mRouters.get(0);
        CompletableFuture<String> done = new CompletableFuture<>();
        router.coordination()
                .config()
                .propose(
                        System.currentTimeMillis(),
                        change,
                        OptionalLong.empty(),
                        (t, result) ->
                                done.complete(result.isRight() ? "" : result.getLeft().message()));
        String problem = done.orTimeout(WAIT_MS, TimeUnit.MILLISECONDS).join();
        if (!problem.isEmpty()) {
            throw new IllegalStateException(problem);
        }
    }

    /** Waits until a condition holds; fails after {@link #WAIT_MS}. */
    static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("the condition did not hold within  " + WAIT_MS + " ms");
            }
            java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        }
    }

    private static String sha256(String key) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        mRouters.forEach(RouterDaemon::close);
        mEngines.forEach(EngineStandIn::close);
        mService.close();
        mPlatform.close();
    }
}
