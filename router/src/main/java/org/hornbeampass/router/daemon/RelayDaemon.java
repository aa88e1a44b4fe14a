package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.address.ConditionExchange;
import org.hornbeampass.coordination.address.ConditionReport;
import org.hornbeampass.coordination.address.ForwardTargets;
import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.coordination.escrow.EscrowLoans;
import org.hornbeampass.coordination.escrow.EscrowOwner;
import org.hornbeampass.coordination.escrow.LoanRequest;
import org.hornbeampass.coordination.escrow.RecordNotice;
import org.hornbeampass.coordination.escrow.TokenTransfer;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.IndirectPing;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.news.ViewFeed;
import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.quarantine.SuspectReport;
import org.hornbeampass.coordination.ratelimit.PermitRequest;
import org.hornbeampass.coordination.ratelimit.SlowStartRequest;
import org.hornbeampass.coordination.service.EvacuatedDomains;
import org.hornbeampass.coordination.service.InFlightReport;
import org.hornbeampass.coordination.service.LoadExchange;
import org.hornbeampass.coordination.service.Placement;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.router.relay.Forwarding;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpClientSettings;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.peer.PeerSettings;
import org.hornbeampass.transport.peer.PeerTransport;
import org.hornbeampass.transport.relay.CallerServer;
import org.hornbeampass.transport.relay.LinkBytes;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One router that relays requests to services: creates, starts and shuts down all its components.
 *
 * <p>All components run on one event loop, since a VM has less than one core; only the request to
 * shut down comes from other threads. Thread-safe.
 */
public final class RelayDaemon implements AutoCloseable {
    /** Interval of time-dependent work of the components, in milliseconds. */
    static final long TICK_MS = 100;

    private RelayDaemonSettings mSettings;
    private final WireFormat mWire;
    private final Clock mClock = Clock.monotonic();
    private final EventLoops mLoops = EventLoops.create(1, "relay");
    private final TickLoop mTicks = new TickLoop(mLoops, mClock);
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final RelayLog mLog = new RelayLog(mMetrics);
    private final SecureRandom mSecure = new SecureRandom();

    /** Used for each candidate of each choice; a secure generator would need system calls. */
    private final Random mRandom = new Random(mSecure.nextLong());

    private final SignalTable mSignalTable = new SignalTable();
    private final SlowStarts mSlowStarts = new SlowStarts();
    private final PermitServices mPermits;
    private final UpstreamRegistry mUpstreamRegistry;
    private final ObservedStore mStore;
    private final EraGuard mPlatform;
    private final FleetView mFleet;
    private final PeerTransport mPeers;
    private final StoreViews mViews;
    private final EscrowBook mBudgets;
    private final BudgetMetrics mBudgetMetrics;
    private final EscrowLoans mLoans;
    private final StreamServices mStreams;
    private final LoadExchange mLoadExchange;
    private final SignalExchange mSignalExchange;
    private final UpstreamReachMonitor mReachMonitor;
    private final UpstreamPool mPool;
    private final UpstreamPool mVmPool;
    private final Quarantine mQuarantine;
    private final RelayContext mContext;
    private final StoreChanges mChanges;
    private final ConditionExchange mConditionExchange;
    private final OverloadMonitor mOverloads;
    private final Optional<CapacityMonitor> mCapacity;
    private final CallerIntake mIntake;
    private final CallerServer mCallers;
    private final AddressMembers mAddressMembers;
    private final DirectoryServers mDirectory;
    private final RelayShutdown mShutdown;

    private RelayDaemon(
            RelayDaemonSettings settings, WireFormat wire, PlatformFactory platformFactory) {
        mSettings = settings;
        mWire = wire;
        HttpClient client =
                NettyHttpClient.create(
                        mLoops, HttpClientSettings.STANDARD.withPool(16, 64), mClock);
        mStore =
                new ObservedStore(
                        platformFactory.create(client, settings.platform(), mClock),
                        mLog,
                        mMetrics);
        mPlatform = new EraGuard(mStore);
        String ip = settings.listen().peers().getAddress().getHostAddress();
        VmId vm = new VmId(ip, System.currentTimeMillis());
        mPeers =
                PeerTransport.start(
                        mLoops,
                        PeerSettings.of(vm, settings.listen().peers(), settings.cluster()),
                        mClock,
                        name -> fleet().flatMap(f -> f.peerAddress(name)));
        mFleet = new FleetView(settings, vm, mPeers, mPlatform, new Random(mRandom.nextLong()));
        mPermits = newPermits();
        mUpstreamRegistry = newUpstreamRegistry();
        mViews = newStoreViews();
        mBudgets = newEscrowBook(ip);
        mBudgetMetrics = new BudgetMetrics(mMetrics, mBudgets);
        mLoadExchange = new LoadExchange(mUpstreamRegistry, mPeers, mFleet::broadcastPaths);
        mSignalExchange =
                new SignalExchange(
                        mUpstreamRegistry,
                        mSignalTable,
                        mPeers,
                        mFleet::broadcastPaths,
                        new SignalLog(mLog));
        mConditionExchange =
                new ConditionExchange(ip, vm.incarnation(), mPeers, mFleet::broadcastPaths);
        mOverloads = new OverloadMonitor(mConditionExchange, mUpstreamRegistry, TICK_MS, mLog);
        mCapacity =
                settings.load()
                        .capacity()
                        .map(c -> CapacityMonitor.create(c, vm, mPeers, mFleet, mOverloads, mLog));
        mLoans = new EscrowLoans(mBudgets, mPeers, mFleet.homes(), mRandom);
        mStreams = newStreams();
        mReachMonitor = new UpstreamReachMonitor(mUpstreamRegistry, mLog, mRandom);
        mPool = newPool(mReachMonitor);
        mVmPool = newPool(UpstreamPool.ConnectListener.NONE);
        mQuarantine = newQuarantine();
        mContext = newContext();
        mChanges =
                new StoreChanges(
                        mContext, mViews.view(ViewKind.UPSTREAMS), settings.upstreamHeartbeatMs());
        registerListeners();
        mIntake = startCallers();
        mCallers = mIntake.server();
        mShutdown = new RelayShutdown(settings.graceMs(), mCallers, mBudgets, mFleet, mContext);
        mAddressMembers = newAddressMembers();
        mDirectory = newDirectory();
        settings.listen().metrics().ifPresent(this::serveMetrics);
    }

    /**
     * Starts a daemon; it is ready once it has received a configuration.
     *
     * @throws IllegalStateException if an address can't be listened on
     */
    public static RelayDaemon start(
            RelayDaemonSettings settings, WireFormat wire, PlatformFactory platforms) {
        RelayDaemon daemon = new RelayDaemon(settings, wire, platforms);
        daemon.mTicks.every(TICK_MS, daemon::tick);
        return daemon;
    }

    private CallerIntake startCallers() {
        return CallerIntake.start(
                mSettings,
                mLoops,
                mContext,
                this::limits,
                mCapacity,
                mOverloads,
                mFleet::otherLiveMembers,
                mMetrics);
    }

    private Optional<LinkBytes> linkBytes() {
        return mCapacity.map(CapacityMonitor::linkBytes);
    }

    private UpstreamRegistry newUpstreamRegistry() {
        return new UpstreamRegistry(
                mRandom,
                mFleet::sharingVmCount,
                mSignalTable,
                mPermits.permits(),
                new Placement(new EvacuatedDomains(), mSettings.domainRegions()),
                mSlowStarts,
                LearntRouting.settings(mSettings));
    }

    private UpstreamPool newPool(UpstreamPool.ConnectListener listener) {
        return new UpstreamPool(
                mLoops, mClock, listener, mSettings.load().upstreamLimits(), linkBytes());
    }

    private PermitServices newPermits() {
        return new PermitServices(
                mSignalTable,
                this::signals,
                mSlowStarts,
                mSettings.relay().slowStart(),
                mFleet,
                mPeers,
                mRandom);
    }

    private RelayContext newContext() {
        return new RelayContext(
                mWire,
                mSettings.relay(),
                loop(),
                mClock,
                mUpstreamRegistry,
                mPool,
                new Forwarding(mReachMonitor.reach(), mVmPool, this::forwardTarget),
                new RequestHasher(mSettings.cluster().revealBytes()),
                mQuarantine,
                mSignalExchange,
                mPermits.permits(),
                mBudgets,
                mLoans,
                mStreams.origins(),
                mStreams.history(),
                mLog,
                mRandom,
                mFleet::sharingVmCount,
                mViews,
                mOverloads::loopDelayMs);
    }

    private Optional<Member> forwardTarget(String service, Set<String> tried) {
        return ForwardTargets.choose(
                mFleet.otherLiveMembers(),
                mConditionExchange.withoutService(service),
                mOverloads.overloaded(),
                tried,
                mRandom);
    }

    private Optional<FleetView> fleet() {
        return Optional.ofNullable(mFleet);
    }

    private StoreChanges changes() {
        return mChanges;
    }

    private EventLoop loop() {
        return mLoops.group().next();
    }

    private StoreViews newStoreViews() {
        return new StoreViews(
                mPlatform,
                StoreChanges.sources(mWire, mSettings.evacuations(), this::changes),
                mPeers,
                mFleet::otherLiveNames,
                mFleet::watchPaths,
                mLog,
                mFleet.membership()::announceRevision,
                mRandom);
    }

    private EscrowBook newEscrowBook(String vm) {
        return new EscrowBook(
                mPlatform,
                new EscrowOwner(vm, Long.toHexString(mSecure.nextLong())),
                mSettings.budgetShards(),
                mFleet.homes(),
                new GrantLog(mLog));
    }

    private SignalExchange signals() {
        return mSignalExchange;
    }

    private Quarantine newQuarantine() {
        return new Quarantine(
                mPlatform,
                mPeers,
                mFleet::broadcastPaths,
                () -> mFleet.isRecordOwner("quarantines"),
                mRandom,
                new QuarantineLog(mLog));
    }

    private StreamServices newStreams() {
        return new StreamServices(
                mPeers, mFleet, mPlatform, mUpstreamRegistry, mViews, mMetrics, mRandom, mLog);
    }

    private void registerListeners() {
        mStore.onRegained(mViews::onStoreRegained);
        mPlatform.addListener(mViews);
        mPlatform.addListener((nowMs, former, era) -> mBudgets.onEra(nowMs, era));
        mPlatform.addListener(mFleet);
        mPlatform.addListener(mQuarantine);
        mSettings.load().admission().ifPresent(mContext::enableAdmission);
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
        mPeers.on(ViewChangesRequest.class, mViews.viewExchange()::onRequest);
        mPeers.on(ViewFeed.class, mViews::onFeed);
        mPeers.on(LoanRequest.class, mLoans::onRequest);
        mPeers.on(TokenTransfer.class, mLoans::onTransfer);
        mPeers.on(RecordNotice.class, mLoans::onNotice);
        mPeers.on(InFlightReport.class, mLoadExchange::onReport);
        mPeers.on(SignalReport.class, mSignalExchange::onReport);
        mPeers.on(ConditionReport.class, mConditionExchange::onReport);
        mPeers.on(PermitRequest.class, mPermits.announcedLimits()::onRequest);
        mPeers.on(SlowStartRequest.class, mPermits.slowStartLimits()::onRequest);
        mPeers.on(SuspectReport.class, mQuarantine::onReport);
        new LearntRouting(mUpstreamRegistry, mPeers, mFleet::broadcastPaths, mLog, mMetrics)
                .start(mTicks, TICK_MS);
    }

    private void registerMetrics() {
        mMetrics.register("config_version", (Gauge<Long>) this::configVersion);
        mViews.registerMetrics(mMetrics, mClock);
        mMetrics.register(
                "evacuated_domains",
                (Gauge<Integer>) () -> mUpstreamRegistry.evacuated().all().size());
        mMetrics.register("peer_bytes_sent", (Gauge<Long>) mPeers.counters()::bytesSent);
        mMetrics.register("peer_bytes_received", (Gauge<Long>) mPeers.counters()::bytesReceived);
        mMetrics.register("suspected_requests", (Gauge<Integer>) mQuarantine.suspects()::size);
        mMetrics.register(
                "rate_limited_upstreams",
                (Gauge<Integer>) () -> mUpstreamRegistry.rateLimited(mClock.nowMs()).size());
        mOverloads.registerMetrics(mMetrics);
        mCapacity.ifPresent(c -> c.registerMetrics(mMetrics));
        mMetrics.register("cold_upstreams", (Gauge<Integer>) mSlowStarts::size);
        mPermits.registerMetrics(mMetrics);
        mMetrics.register("vms", (Gauge<Integer>) mFleet::sharingVmCount);
        mMetrics.register("caller_connections", (Gauge<Integer>) () -> mCallers.connections());
        mMetrics.register("upstream_connections_opened", (Gauge<Long>) mPool::openedConnections);
        mMetrics.register("forward_connections_opened", (Gauge<Long>) mVmPool::openedConnections);
        mReachMonitor.registerMetrics(mMetrics);
    }

    private long configVersion() {
        return mChanges.configVersion();
    }

    private CallerLimits limits() {
        return mContext.routes().map(r -> r.config().limits()).orElse(CallerLimits.DEFAULT);
    }

    private AddressMembers newAddressMembers() {
        return new AddressMembers(
                nowMs -> mFleet.answerableMembers(nowMs, mStore.answers(), isReady()),
                mContext,
                mConditionExchange,
                mCapacity,
                mRandom);
    }

    private DirectoryServers newDirectory() {
        return new DirectoryServers(
                mLoops,
                mCapacity.isPresent(),
                mClock,
                mWire,
                mSettings.listen(),
                mMetrics,
                this::directorySnapshot,
                this::limits);
    }

    private void serveMetrics(InetSocketAddress address) {
        MetricsHandler handler = new MetricsHandler(mMetrics, mBudgetMetrics);
        CallerServer.start(mLoops, address, mClock, handler, this::limits);
    }

    private DirectorySnapshot directorySnapshot(long nowMs) {
        return new DirectorySnapshot(
                nowMs, isReady(), mSettings.keepAddressesMs(), limits(), mAddressMembers.at(nowMs));
    }

    private boolean isReady() {
        return mContext.isConfigured() && !mShutdown.hasBegun();
    }

    private void tick(long nowMs) {
        mReachMonitor.tick(nowMs, mPool);
        mOverloads.tick(nowMs, mReachMonitor.reach().lostServices());
        mCapacity.ifPresent(c -> c.tick(nowMs));
        mIntake.tick(nowMs);
        mStore.tick(nowMs);
        mFleet.tick(nowMs);
        mViews.tick(nowMs);
        mBudgets.tick(nowMs);
        mLoans.tick(nowMs);
        mLoadExchange.tick(nowMs);
        mSignalExchange.tick(nowMs);
        mPermits.permits().tick(nowMs);
        mQuarantine.tick(nowMs);
        mUpstreamRegistry.tick(nowMs);
        mStreams.tick(nowMs);
        mPool.tick(nowMs);
        mVmPool.tick(nowMs);
        mShutdown.tick(nowMs);
        mDirectory.publish(nowMs);
    }

    /** Applies newer settings as far as they can change while the daemon runs. */
    void apply(RelayDaemonSettings settings) {
        loop().execute(
                        () -> {
                            mSettings = settings;
                            mContext.setSettings(settings.relay());
                            mFleet.addSeeds(settings.seeds());
                        });
    }

    /** Runs an action on the event loop at an interval in milliseconds. */
    void every(long ms, Runnable action) {
        mTicks.every(ms, nowMs -> action.run());
    }

    /**
     * Begins the graceful shutdown; the future is completed when the shutdown is done or its grace
     * period is over.
     */
    public CompletableFuture<Void> shutDown() {
        loop().execute(() -> mShutdown.begin(mClock.nowMs()));
        return mShutdown.done();
    }

    /** Returns the address for callers' requests. */
    public InetSocketAddress callersAddress() {
        return mCallers.address();
    }

    /** Returns the address at which callers request the addresses to use. */
    public InetSocketAddress directoryAddress() {
        return mDirectory.directoryAddress();
    }

    /** Returns the address for messages of other VMs. */
    public InetSocketAddress peersAddress() {
        return mPeers.address();
    }

    /** Returns the address for readiness checks of this VM. */
    public InetSocketAddress readinessAddress() {
        return mDirectory.readinessAddress();
    }

    /**
     * Closes immediately, as a crash would: requests in progress are aborted, and grants are not
     * returned.
     */
    @Override
    public void close() {
        mDirectory.close();
        mLoops.close();
    }

    /** Returns a future that is completed once a shutdown is done. */
    CompletableFuture<Void> shutDownFuture() {
        return mShutdown.done();
    }
}
