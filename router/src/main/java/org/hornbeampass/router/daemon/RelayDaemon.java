package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.coordination.escrow.EscrowLoans;
import org.hornbeampass.coordination.escrow.EscrowOwner;
import org.hornbeampass.coordination.escrow.LoanRequest;
import org.hornbeampass.coordination.escrow.TokenTransfer;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.IndirectPing;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.quarantine.SuspectReport;
import org.hornbeampass.coordination.ratelimit.PermitCounts;
import org.hornbeampass.coordination.ratelimit.PermitRequest;
import org.hornbeampass.coordination.ratelimit.RateLimiter;
import org.hornbeampass.coordination.service.InFlightReport;
import org.hornbeampass.coordination.service.LoadExchange;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.router.relay.RelayHandler;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpClientSettings;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.metrics.MetricsText;
import org.hornbeampass.transport.peer.PeerSettings;
import org.hornbeampass.transport.peer.PeerTransport;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;
import org.hornbeampass.transport.relay.CallerServer;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * One router that passes requests on to services: all its parts, from start to shutdown.
 *
 * <p>All parts run on one event loop, since a VM has less than one core; nothing is shared with
 * another thread but the request to shut down. Thread-safe.
 */
public final class RelayDaemon implements AutoCloseable {
    /** How often decisions that wait for time are looked at, in milliseconds. */
    private static final long TICK_MS = 100;

    private RelayDaemonSettings mSettings;
    private final WireFormat mWire;
    private final Clock mClock = Clock.monotonic();
    private final EventLoops mLoops = EventLoops.create(1, "relay");
    private final TickLoop mTicks = new TickLoop(mLoops, mClock);
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final RelayLog mLog = new RelayLog(mMetrics);
    private final SecureRandom mSecure = new SecureRandom();

    /** Draws for each candidate of each choice, where a secure one would ask the system. */
    private final Random mRandom = new Random(mSecure.nextLong());

    private final SignalTable mSignalTable = new SignalTable();
    private final RateLimiter mLimiter;
    private final UpstreamRegistry mUpstreamRegistry;
    private final ObservedStore mStore;
    private final FleetView mFleet;
    private final PeerTransport mPeers;
    private final StoreViews mViews;
    private final EscrowBook mBudgets;
    private final BudgetMetrics mBudgetMetrics;
    private final EscrowLoans mLoans;
    private final LoadExchange mLoads;
    private final SignalExchange mSignals;
    private final UpstreamPool mPool;
    private final Quarantine mQuarantine;
    private final RelayContext mParts;
    private final StoreChanges mChanges;
    private final CallerServer mCallers;
    private final CallerServer mDirectory;
    private final CallerServer mReadiness;
    private final RelayShutdown mShutdown;

    private RelayDaemon(RelayDaemonSettings settings, WireFormat wire, PlatformFactory platforms) {
        mSettings = settings;
        mWire = wire;
        HttpClient client =
                NettyHttpClient.create(
                        mLoops, HttpClientSettings.STANDARD.withPool(16, 64), mClock);
        mStore =
                new ObservedStore(
                        platforms.create(client, settings.platform(), mClock), mLog, mMetrics);
        String ip = settings.listen().peers().getAddress().getHostAddress();
        VmId vm = new VmId(ip, System.currentTimeMillis());
        mPeers =
                PeerTransport.start(
                        mLoops,
                        PeerSettings.of(vm, settings.listen().peers(), settings.cluster()),
                        mClock,
                        name -> fleet().flatMap(f -> f.peerAddress(name)));
        mFleet = new FleetView(settings, vm, mPeers, mStore, new Random(mRandom.nextLong()));
        mLimiter = new RateLimiter(mSignalTable, this::signals, mPeers, mFleet);
        mUpstreamRegistry = new UpstreamRegistry(mRandom, this::vms, mSignalTable, mLimiter);
        mViews = views();
        mBudgets = budgets(ip);
        mBudgetMetrics = new BudgetMetrics(mMetrics, mBudgets);
        mLoads = new LoadExchange(mUpstreamRegistry, mPeers, mFleet::paths);
        mSignals =
                new SignalExchange(
                        mUpstreamRegistry,
                        mSignalTable,
                        mPeers,
                        mFleet::paths,
                        new SignalLog(mLog));
        mLoans = new EscrowLoans(mBudgets, mPeers, mFleet.homes(), mRandom);
        mPool = new UpstreamPool(mLoops, mClock);
        mQuarantine = quarantine();
        mParts = parts();
        mChanges = new StoreChanges(mParts, mViews.upstreams());
        register();
        mCallers =
                CallerServer.start(
                        mLoops,
                        settings.listen().callers(),
                        mClock,
                        new RelayHandler(mParts),
                        this::limits);
        mShutdown = new RelayShutdown(settings.graceMs(), mCallers, mBudgets, mFleet, mParts);
        mDirectory = serve(settings.listen().directory(), this::onDirectory);
        mReadiness = serve(settings.listen().readiness(), this::onReadiness);
        settings.listen().metrics().ifPresent(a -> serve(a, this::onMetrics));
        mTicks.every(TICK_MS, this::tick);
    }

    /**
     * Starts a daemon; it is ready once a configuration is known.
     *
     * @throws IllegalStateException if an address can't be listened on
     */
    public static RelayDaemon start(
            RelayDaemonSettings settings, WireFormat wire, PlatformFactory platforms) {
        return new RelayDaemon(settings, wire, platforms);
    }

    private RelayContext parts() {
        return new RelayContext(
                mWire,
                mSettings.relay(),
                loop(),
                mClock,
                mUpstreamRegistry,
                mPool,
                new RequestHasher(mSettings.cluster().revealBytes()),
                mQuarantine,
                mSignals,
                mLimiter,
                mBudgets,
                mLoans,
                mLog,
                mRandom,
                mFleet::vms,
                mViews::configMayBeBehind);
    }

    private Optional<FleetView> fleet() {
        return Optional.ofNullable(mFleet);
    }

    private int vms() {
        return mFleet.vms();
    }

    private StoreChanges changes() {
        return mChanges;
    }

    private EventLoop loop() {
        return mLoops.group().next();
    }

    private StoreViews views() {
        return new StoreViews(
                mStore,
                mWire.configPrefix(),
                mWire.upstreamPrefix(),
                mPeers,
                mFleet::others,
                mLog,
                mFleet.membership()::announceRevision,
                mFleet.membership()::announceUpstreamsRevision,
                mRandom,
                (nowMs, change) -> changes().onConfig(nowMs, change),
                (nowMs, change) -> changes().onUpstream(nowMs, change));
    }

    private EscrowBook budgets(String vm) {
        return new EscrowBook(
                mStore,
                new EscrowOwner(vm, Long.toHexString(mSecure.nextLong())),
                mSettings.budgetShards(),
                mFleet.homes(),
                new GrantLog(mLog));
    }

    private SignalExchange signals() {
        return mSignals;
    }

    private Quarantine quarantine() {
        return new Quarantine(
                mStore,
                mPeers,
                mFleet::paths,
                () -> mFleet.keeps("quarantines"),
                mRandom,
                new QuarantineLog(mLog));
    }

    private void register() {
        mStore.onRegained(mViews::onStoreRegained);
        registerPeers();
        registerMetrics();
    }

    private void registerPeers() {
        var membership = mFleet.membership();
        membership.addListener(new PeerLog(mLog));
        membership.addListener(mViews);
        mPeers.on(Ping.class, membership::onPing);
        mPeers.on(Gossip.class, membership::onGossip);
        mPeers.on(IndirectPing.class, membership::onIndirectPing);
        mPeers.on(SyncRequest.class, membership::onSyncRequest);
        mPeers.on(ViewChangesRequest.class, mViews.news()::onRequest);
        mPeers.on(LoanRequest.class, mLoans::onRequest);
        mPeers.on(TokenTransfer.class, mLoans::onTransfer);
        mPeers.on(InFlightReport.class, mLoads::onReport);
        mPeers.on(SignalReport.class, mSignals::onReport);
        mPeers.on(PermitRequest.class, mLimiter::onRequest);
        mPeers.on(SuspectReport.class, mQuarantine::onReport);
    }

    private void registerMetrics() {
        mMetrics.register("config_version", (Gauge<Long>) this::configVersion);
        mMetrics.register("config_failing_ms", (Gauge<Long>) () -> failingMs(mViews.config()));
        mMetrics.register(
                "upstreams_failing_ms", (Gauge<Long>) () -> failingMs(mViews.upstreams()));
        mMetrics.register("peer_bytes_sent", (Gauge<Long>) mPeers.counters()::bytesSent);
        mMetrics.register("peer_bytes_received", (Gauge<Long>) mPeers.counters()::bytesReceived);
        mMetrics.register("suspected_requests", (Gauge<Integer>) mQuarantine.suspects()::size);
        mMetrics.register(
                "rate_limited_upstreams",
                (Gauge<Integer>) () -> mUpstreamRegistry.rateLimited().size());
        PermitCounts permits = mLimiter.counts();
        mMetrics.register("permits_granted", (Gauge<Long>) permits::granted);
        mMetrics.register("permits_denied", (Gauge<Long>) permits::denied);
        mMetrics.register("permits_unanswered", (Gauge<Long>) permits::unanswered);
        mMetrics.register("permits_used", (Gauge<Long>) permits::used);
        mMetrics.register("permits_expired", (Gauge<Long>) permits::expired);
        mMetrics.register("vms", (Gauge<Integer>) mFleet::vms);
        mMetrics.register("caller_connections", (Gauge<Integer>) this::connections);
        mMetrics.register("upstream_connections_opened", (Gauge<Long>) mPool::openedConnections);
    }

    private long failingMs(WatchedView view) {
        return view.failingForMs(mClock.nowMs());
    }

    private int connections() {
        return mCallers.connections();
    }

    private long configVersion() {
        return mChanges.configVersion();
    }

    private CallerLimits limits() {
        return mParts.routes().map(r -> r.config().limits()).orElse(CallerLimits.DEFAULT);
    }

    private CallerServer serve(InetSocketAddress address, CallerHandler handler) {
        return CallerServer.start(mLoops, address, mClock, handler, this::limits);
    }

    private CallerListener onDirectory(long nowMs, CallerConnection caller, HttpRequest head) {
        if (!mWire.asksForAddresses(head)) {
            respond(caller, 404, "{}");
            return CallerListener.IGNORING;
        }
        String body =
                mWire.addresses(
                        mFleet.callersAddresses(ready()), mSettings.keepAddressesMs() / 1_000.0);
        respond(caller, 200, body);
        return CallerListener.IGNORING;
    }

    private CallerListener onReadiness(long nowMs, CallerConnection caller, HttpRequest head) {
        respond(caller, ready() && mWire.asksForReadiness(head) ? 200 : 503, "{}");
        return CallerListener.IGNORING;
    }

    private CallerListener onMetrics(long nowMs, CallerConnection caller, HttpRequest head) {
        mBudgetMetrics.refresh();
        caller.respond(
                200,
                Map.of("content-type", MetricsText.CONTENT_TYPE),
                MetricsText.render(mMetrics).getBytes(StandardCharsets.UTF_8));
        return CallerListener.IGNORING;
    }

    private static void respond(CallerConnection caller, int status, String json) {
        caller.respond(
                status,
                Map.of("content-type", "application/json"),
                json.getBytes(StandardCharsets.UTF_8));
    }

    private boolean ready() {
        return mParts.routes().isPresent() && !mShutdown.begun();
    }

    private void tick(long nowMs) {
        mStore.tick(nowMs);
        mFleet.tick(nowMs);
        mViews.tick(nowMs);
        mBudgets.tick(nowMs);
        mLoans.tick(nowMs);
        mLoads.tick(nowMs);
        mSignals.tick(nowMs);
        mLimiter.tick(nowMs);
        mQuarantine.tick(nowMs);
        mUpstreamRegistry.tick(nowMs);
        mPool.tick(nowMs);
        mCallers.tick(nowMs);
        mShutdown.tick(nowMs);
    }

    /** Puts newer settings in force, as far as they can change while the daemon runs. */
    void apply(RelayDaemonSettings settings) {
        loop().execute(
                        () -> {
                            mSettings = settings;
                            mParts.setSettings(settings.relay());
                            mFleet.addSeeds(settings.seeds());
                        });
    }

    /** Runs an action on the loop again and again. */
    void every(long ms, Runnable action) {
        mTicks.every(ms, nowMs -> action.run());
    }

    /** Begins the graceful shutdown; completed when all is done that can be done. */
    public CompletableFuture<Void> shutDown() {
        loop().execute(() -> mShutdown.begin(mClock.nowMs()));
        return mShutdown.done();
    }

    /** Returns where callers connect. */
    public InetSocketAddress callersAddress() {
        return mCallers.address();
    }

    /** Returns where callers ask which addresses to use. */
    public InetSocketAddress directoryAddress() {
        return mDirectory.address();
    }

    /** Returns where this VM tells whether it takes requests. */
    public InetSocketAddress readinessAddress() {
        return mReadiness.address();
    }

    /** Closes at once, as a crash would: requests in progress are cut, grants are not returned. */
    @Override
    public void close() {
        mLoops.close();
    }

    /** Returns the future that is completed once a shutdown is done. */
    CompletableFuture<Void> shutDownFuture() {
        return mShutdown.done();
    }
}
