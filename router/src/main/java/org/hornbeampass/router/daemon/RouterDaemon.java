package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.router.admin.DrainControl;
import org.hornbeampass.router.front.CallerHttpHandler;
import org.hornbeampass.router.front.RequestAdmission;
import org.hornbeampass.router.serve.FlowRunner;
import org.hornbeampass.router.serve.RouterMetrics;
import org.hornbeampass.router.serve.ServeDependencies;
import org.hornbeampass.router.serve.WheelTimers;
import org.hornbeampass.router.upstream.AttemptContext;
import org.hornbeampass.router.upstream.LoadPoller;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.metrics.MetricsText;
import org.hornbeampass.transport.platform.HttpPlatform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * One router: creates, starts and shuts down all its components.
 *
 * <p>Holds no static state, so that several can run in one process. Thread-safe.
 */
public final class RouterDaemon implements AutoCloseable {
    private final VmId mVm;
    private final Clock mClock;
    private final RouterNetwork mNetwork;
    private final Coordination mCoordination;
    private final WheelTimers mTimers;
    private final FlowRunner mRunner;
    private final RouterMetrics mMetrics;
    private final TickLoop mTicks;
    private final Shutdown mShutdown;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private RouterDaemon(RouterSettings settings, LinkFaults faults, Clock clock) {
        mClock = clock;
        long nowMs = clock.nowMs();
        mVm = new VmId(settings.place().name(), settings.place().incarnation().orElse(nowMs));
        AtomicReference<Coordination> coordination = new AtomicReference<>();
        mNetwork =
                new RouterNetwork(
                        mVm,
                        settings,
                        clock,
                        name -> PeerAddresses.resolve(coordination, name),
                        faults);
        mTimers = new WheelTimers(clock, mVm.name() + "-timers");
        mMetrics = new RouterMetrics(new MetricRegistry());
        mCoordination =
                new Coordination(
                        self(settings),
                        settings,
                        faults.platform(
                                new HttpPlatform(mNetwork.platform(), settings.platform(), clock)),
                        mNetwork,
                        nowMs);
        coordination.set(mCoordination);
        mRunner = new FlowRunner(newServeParts(settings));
        mShutdown = new Shutdown(mCoordination, mNetwork, mRunner, mTimers, settings.execution());
        PeerMessageHandlers.register(mNetwork.peers(), mCoordination);
        mNetwork.callersHandler().set(newFrontDoor(settings));
        OperatorApi.start(settings, mCoordination, mNetwork, mMetrics, nowMs, new DaemonDrain());
        mTicks = new TickLoop(mNetwork.control(), clock);
        mTicks.every(TickLoop.FAST_INTERVAL_MS, mCoordination::tickFast);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, mCoordination::tick);
        LoadPoller loadPoller =
                new LoadPoller(
                        mCoordination.upstreamTable(),
                        mCoordination.config()::snapshot,
                        mNetwork.platform(),
                        clock);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, loadPoller::tick);
        VmListReader list =
                new VmListReader(
                        mCoordination.membership(),
                        mCoordination.backgroundPlatform(),
                        new Random(nowMs));
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, list::tick);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, this::shutDownIfSuperseded);
        ControlMetrics.register(
                mMetrics.registry(),
                mCoordination,
                mNetwork.peers().counters(),
                loadPoller,
                mRunner);
    }

    /**
     * Starts a router; it is ready once {@link #notReady} is empty.
     *
     * @throws IllegalStateException if an address can't be listened on
     */
    public static RouterDaemon start(RouterSettings settings) {
        return start(settings, LinkFaults.NONE);
    }

    /**
     * Starts a router whose links to the platform and to other routers an experiment may cut.
     *
     * @throws IllegalStateException if an address can't be listened on
     */
    public static RouterDaemon start(RouterSettings settings, LinkFaults faults) {
        return new RouterDaemon(settings, faults, Clock.monotonic());
    }

    /**
     * Blocks all threads of this router for a time in milliseconds, as the pause of a VM would; for
     * experiments.
     */
    public void pause(long ms) {
        mNetwork.pause(ms);
        var unused =
                mTimers.schedule(
                        0, 0, t -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms)));
    }

    /**
     * Shuts down if a newer incarnation of this VM is running, since two must not share its name.
     */
    private void shutDownIfSuperseded(long nowMs) {
        if (mCoordination.membership().superseded()) {
            var unused = mShutdown.begin(nowMs);
        }
    }

    private Member self(RouterSettings settings) {
        RouterSettings.Listen listen = settings.listen();
        return new Member(
                mVm,
                listen.advertisedCallers().orElseGet(() -> hostAndPort(callersAddress())),
                listen.advertisedPeers().orElseGet(() -> hostAndPort(mNetwork.peers().address())),
                settings.place().region(),
                settings.place().domain(),
                MemberState.LIVE);
    }

    private static String hostAndPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private ServeDependencies newServeParts(RouterSettings settings) {
        AttemptContext upstreams =
                new AttemptContext(
                        mVm,
                        mCoordination.upstreamTable(),
                        mCoordination.chooser(),
                        new RetryPolicy(),
                        RetryBudget.defaults(),
                        mNetwork.upstreams(),
                        mTimers,
                        mClock,
                        settings.limits().upstream());
        return new ServeDependencies(
                mVm,
                mCoordination.budgets(),
                mCoordination.requests(),
                mCoordination.limits(),
                mCoordination.queues(),
                upstreams,
                mTimers,
                mMetrics,
                mClock,
                settings.limits().serve());
    }

    private CallerHttpHandler newFrontDoor(RouterSettings settings) {
        return new CallerHttpHandler(
                new RequestAdmission(mVm, settings.limits().front()),
                mCoordination.currentConfig(),
                mRunner,
                mCoordination.addresses(),
                this::notReady,
                () -> MetricsText.render(mMetrics.registry()).getBytes(StandardCharsets.UTF_8),
                mMetrics::countRefused);
    }

    /** Returns why this router accepts no new requests; empty if it accepts them. */
    public Optional<Failure> notReady() {
        if (mShutdown.hasBegun()) {
            return Optional.of(
                    Failure.retryAfter(
                            ErrorKind.SHUTTING_DOWN,
                            "this router is shutting down; send the request to another address",
                            0));
        }
        return mCoordination
                .config()
                .readinessFailure()
                .or(() -> mCoordination.requests().readinessFailure());
    }

    /**
     * Returns the configuration store, for embedding programs that change the configuration without
     * the operators' API.
     */
    public ConfigStore configuration() {
        return mCoordination.config();
    }

    /** Returns the administration of the budgets, for embedding programs. */
    public BudgetAdmin accounts() {
        return mCoordination.accounts();
    }

    /** Returns the coordination components. */
    Coordination coordination() {
        return mCoordination;
    }

    /** Returns the name and incarnation of this VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the address for callers. */
    public InetSocketAddress callersAddress() {
        return mNetwork.callers().address();
    }

    /** Returns the address for operators. */
    public InetSocketAddress operatorsAddress() {
        return mNetwork.operators().address();
    }

    /** Returns the address for other routers. */
    public InetSocketAddress peersAddress() {
        return mNetwork.peers().address();
    }

    /** Returns a future that is completed once a shutdown is done, before the router is closed. */
    public CompletableFuture<Void> shutDownFuture() {
        return mShutdown.done();
    }

    /** Returns the number of requests in progress. */
    public int running() {
        return mRunner.runningCount();
    }

    /**
     * Shuts down gracefully: leaves the answers about addresses, rejects new requests, finishes
     * those in progress, makes bills durable, returns grants, and closes.
     *
     * @return a future that is completed when everything is closed
     */
    public CompletableFuture<Void> shutDown() {
        return mShutdown.begin(mClock.nowMs()).thenRunAsync(this::close);
    }

    /**
     * Begins the shutdown for an operator; the process that runs the router closes it afterwards.
     */
    private final class DaemonDrain implements DrainControl {
        @Override
        public void begin(long nowMs) {
            var unused = mShutdown.begin(nowMs);
        }

        @Override
        public long inFlight() {
            return mRunner.runningCount();
        }
    }

    /**
     * Closes immediately, as a crash would: requests in progress are aborted, and grants are not
     * returned.
     */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return; // Closed event loops would never complete a second close.
        }
        mTicks.close();
        mNetwork.close();
        mTimers.close();
    }
}
