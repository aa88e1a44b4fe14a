package org.hornbeampass.experiment.path;

import org.hornbeampass.coordination.platform.CallLimits;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.router.admin.KeyGenerator;
import org.hornbeampass.router.daemon.RouterDaemon;
import org.hornbeampass.router.daemon.RouterSettings;
import org.hornbeampass.standin.platform.PlatformStandIn;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.BudgetPreference;
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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/**
 * A platform stand-in and one router with one paying organisation, before given upstreams.
 *
 * <p>Not thread-safe.
 */
final class PathUnderLoad implements AutoCloseable {
    static final String KEY = "load-callers-key";
    static final String MODEL = "desk";
    static final String VM = "vm-load";

    private static final Region REGION = new Region("here");
    private static final FailureDomain DOMAIN = new FailureDomain("here-1");
    private static final BudgetKey BUDGET =
            new BudgetKey(new OrganisationId("load"), new BudgetId("main"));
    private static final long PAID = 1L << 40;
    private static final int UPSTREAM_LIMIT = 2_000;

    private final PlatformStandIn mPlatform =
            PlatformStandIn.start(org.hornbeampass.standin.platform.PlatformSettings.defaults());
    private final RouterDaemon mRouter;

    PathUnderLoad(int workers, List<String> upstreams) {
        mRouter = RouterDaemon.start(settings(workers));
        while (mRouter.notReady().isPresent()) {
            LockSupport.parkNanos(1_000_000);
        }
        propose(new ConfigChange.PutTemplate(new Template("load", parameters())));
        for (int i = 0; i < upstreams.size(); i++) {
            propose(new ConfigChange.PutUpstream(upstream(i, upstreams.get(i))));
        }
        propose(
                new ConfigChange.PutOrganisation(
                        new OrganisationSpec(
                                BUDGET.organisation(),
                                "load",
                                Parameters.none(),
                                Set.of(BUDGET.budget()),
                                Map.of("first", KeyGenerator.hash(KEY)))));
        CompletableFuture<Boolean> paid = new CompletableFuture<>();
        mRouter.accounts()
                .topUp(
                        System.currentTimeMillis(),
                        BUDGET,
                        "t1",
                        PAID,
                        (t, statement) -> paid.complete(statement.isRight()));
        if (!paid.join()) {
            throw new IllegalStateException("the top-up failed");
        }
    }

    private void propose(ConfigChange change) {
        CompletableFuture<String> done = new CompletableFuture<>();
        mRouter.configuration()
                .propose(
                        System.currentTimeMillis(),
                        change,
                        OptionalLong.empty(),
                        (t, result) ->
                                done.complete(result.isRight() ? "" : result.getLeft().message()));
        if (!done.join().isEmpty()) {
            throw new IllegalStateException(done.join());
        }
    }

    private static Parameters parameters() {
        return new Parameters(
                Optional.of(Set.of(new ModelId(MODEL))),
                Optional.empty(),
                Optional.empty(),
                Optional.of(Set.of(WorkKind.CHAT)),
                Optional.empty(),
                Optional.empty(),
                Optional.of(1_000_000),
                Optional.of(1_000_000),
                Optional.of(BudgetPreference.AVOID_FALSE_REFUSAL));
    }

    private static UpstreamSpec upstream(int number, String uri) {
        return new UpstreamSpec(
                new UpstreamId("upstream-" + number),
                uri,
                Optional.of(new ModelId(MODEL)),
                Optional.empty(),
                DOMAIN,
                REGION,
                true,
                UPSTREAM_LIMIT);
    }

    private RouterSettings settings(int workers) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new RouterSettings(
                new RouterSettings.Place(VM, OptionalLong.empty(), REGION, DOMAIN),
                new RouterSettings.Listen(
                        any,
                        any,
                        any,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()),
                new RouterSettings.Keys(Secret.of("cluster-key-under-load"), List.of()),
                new PlatformSettings(
                        List.of(URI.create(mPlatform.uri())), Secret.of("key"), 1_000, 5_000),
                new CallLimits(250, 100, 10, 1, 2_000),
                List.of(),
                RouterSettings.Limits.defaults(),
                new RouterSettings.Execution(workers, OptionalLong.empty()));
    }

    String uri() {
        return "http://127.0.0.1:" + mRouter.callersAddress().getPort();
    }

    @Override
    public void close() {
        mRouter.close();
        mPlatform.close();
    }
}
