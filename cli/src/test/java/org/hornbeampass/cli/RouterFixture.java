package org.hornbeampass.cli;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.config.ConfigSettings;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipSettings;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.router.admin.AdminHandler;
import org.hornbeampass.router.admin.AdminPorts;
import org.hornbeampass.router.admin.BurnRateRecorder;
import org.hornbeampass.router.admin.DrainControl;
import org.hornbeampass.router.admin.KeyGenerator;
import org.hornbeampass.router.admin.LedgerAccounts;
import org.hornbeampass.router.admin.LedgerAudit;
import org.hornbeampass.router.admin.MemberFleet;
import org.hornbeampass.router.admin.OperatorKey;
import org.hornbeampass.router.admin.OperatorKeys;
import org.hornbeampass.router.admin.RecordedBilling;
import org.hornbeampass.router.admin.RouterDrainer;
import org.hornbeampass.router.admin.StoredConfiguration;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.HttpServerSettings;
import org.hornbeampass.transport.http.NettyHttpServer;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;

/**
 * The operators' side of one router on loopback, on a platform in memory whose time stands still;
 * thread-safe as its parts are.
 */
final class RouterFixture implements AutoCloseable, DrainControl {
    static final String KEY = "the-operators-key";
    private static final long NOW_MS = 1_000;
    private static final int MAX_TICKS = 10;

    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final ConfigStore mStore;
    private final HttpServer mServer;

    RouterFixture() {
        MemoryPlatform platform = new MemoryPlatform();
        VmId vm = new VmId("vm-1", 1);
        Member self =
                new Member(
                        vm,
                        "127.0.0.1:8080",
                        "127.0.0.1:8081",
                        new Region("sicily"),
                        new FailureDomain("catania"),
                        MemberState.LIVE);
        PeerNetwork network = new NoPeers();
        Membership membership =
                new Membership(
                        self, network, List.of(), MembershipSettings.defaults(), new Random(1));
        mStore =
                new ConfigStore(
                        vm,
                        platform,
                        network,
                        membership,
                        ConfigSettings.defaults(),
                        new Random(1));
        for (int i = 0; i < MAX_TICKS && !mStore.ready(); i++) {
            mStore.tick(NOW_MS);
        }
        StoredConfiguration configuration = new StoredConfiguration(mStore, 120_000);
        BudgetAdmin accounts = new BudgetAdmin(vm, platform);
        AdminPorts ports =
                new AdminPorts(
                        configuration,
                        new LedgerAccounts(accounts),
                        new RecordedBilling(
                                platform,
                                LedgerSettings.standard(),
                                new LedgerAudit(configuration, accounts)),
                        new MemberFleet(
                                membership, mStore, new RouterDrainer(membership, network, this)),
                        new BurnRateRecorder(NOW_MS, vm, configuration, Objectives.defaults()));
        OperatorKeys keys =
                new OperatorKeys(List.of(new OperatorKey("olga", KeyGenerator.hash(KEY))), Map::of);
        mServer =
                NettyHttpServer.start(
                        HttpServerSettings.loopback(),
                        () -> NOW_MS,
                        new AdminHandler(ports, keys, new SecureRandom()));
    }

    Run run(String... arguments) {
        return runWith(Map.of("HORNBEAM_KEY", KEY), arguments);
    }

    Run runWith(Map<String, String> environment, String... arguments) {
        Map<String, String> all = new HashMap<>(environment);
        all.put("HORNBEAM_SERVER", "http://127.0.0.1:" + mServer.address().getPort());
        return Run.in(all, arguments);
    }

    ConfigSnapshot configuration() {
        return mStore.snapshot();
    }

    boolean draining() {
        return mDraining.get();
    }

    @Override
    public void begin(long nowMs) {
        mDraining.set(true);
    }

    @Override
    public long inFlight() {
        return 3;
    }

    @Override
    public void close() {
        mServer.close().join();
    }

    /** A network without peers. */
    private static final class NoPeers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {}

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            throw new UnsupportedOperationException("there is no router " + vmName);
        }
    }
}
