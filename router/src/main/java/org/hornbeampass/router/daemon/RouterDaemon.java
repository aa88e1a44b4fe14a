package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.router.admin.DrainControl;
import org.hornbeampass.router.front.FrontDoor;
import org.hornbeampass.router.front.RequestAdmission;
import org.hornbeampass.router.serve.FlowRunner;
import org.hornbeampass.router.serve.RouterMetrics;
import org.hornbeampass.router.serve.ServeParts;
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
 * One router: all its parts, from start to shutdown.
 *
 * <p>Holds no static state, so that several can run in one process. Thread-safe.
 */
public final class RouterDaemon implements AutoCloseable {
    private final VmId mVm;
    private final Clock mClock;
    private final RouterNetwork mNetwork;
    private final Coordination mParts;
    private final WheelTimers mTimers;
    private final FlowRunner mRunner;
    private final RouterMetrics mMetrics;
    private final TickLoop mTicks;
    private final Shutdown mShutdown;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private RouterDaemon(RouterSettings settings, LinkFaults hooks, Clock clock) {
        mClock = clock;
        long nowMs = clock.nowMs();
        mVm = new VmId(settings.place().name(), settings.place().incarnation().orElse(nowMs));
        AtomicReference<Coordination> parts = new AtomicReference<>();
        mNetwork =
                new RouterNetwork(
                        mVm, settings, clock, name -> PeerAddresses.resolve(parts, name), hooks);
        mTimers = new WheelTimers(clock, mVm.name() + "-timers");
        mMetrics = new RouterMetrics(new MetricRegistry());
        mParts =
                new Coordination(
                        self(settings),
                        settings,
                        hooks.platform(
                                new HttpPlatform(mNetwork.platform(), settings.platform(), clock)),
                        mNetwork,
                        nowMs);
        parts.set(mParts);
        mRunner = new FlowRunner(serveParts(settings));
        mShutdown = new Shutdown(mParts, mNetwork, mRunner, mTimers, settings.execution());
        PeerMessageHandlers.register(mNetwork.peers(), mParts);
        mNetwork.callersHandler().set(frontDoor(settings));
        OperatorApi.start(settings, mParts, mNetwork, mMetrics, nowMs, new Drain());
        mTicks = new TickLoop(mNetwork.control(), clock);
        mTicks.every(TickLoop.FAST_INTERVAL_MS, mParts::tickFast);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, mParts::tick);
        LoadPoller news =
                new LoadPoller(
                        mParts.upstreamTable(),
                        mParts.config()::snapshot,
                        mNetwork.platform(),
                        clock);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, news::tick);
        VmListReader list =
                new VmListReader(
                        mParts.membership(), mParts.backgroundPlatform(), new Random(nowMs));
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, list::tick);
        mTicks.every(TickLoop.SLOW_INTERVAL_MS, this::endWhereSuperseded);
        ControlMetrics.register(
                mMetrics.registry(), mParts, mNetwork.peers().counters(), news, mRunner);
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
     * Starts a router whose links an experiment may cut.
     *
     * @throws IllegalStateException if an address can't be listened on
     */
    public static RouterDaemon start(RouterSettings settings, LinkFaults hooks) {
        return new RouterDaemon(settings, hooks, Clock.monotonic());
    }

    /**
     * Pauses all threads of this router for a time, as the pause of a VM would; for experiments.
     */
    public void pause(long ms) {
        mNetwork.pause(ms);
        var unused =
                mTimers.at(0, 0, t -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms)));
    }

    /** Shuts down where a newer life of this VM's name runs, since two must not share it. */
    private void endWhereSuperseded(long nowMs) {
        if (mParts.membership().superseded()) {
            var unused = mShutdown.begin(nowMs);
        }
    }

    private Member self(RouterSettings settings) {
        RouterSettings.Listen listen = settings.listen();
        return new Member(
                mVm,
                listen.advertisedCallers().orElseGet(() -> text(callersAddress())),
                listen.advertisedPeers().orElseGet(() -> text(mNetwork.peers().address())),
                settings.place().region(),
                settings.place().domain(),
                MemberState.LIVE);
    }

    private static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private ServeParts serveParts(RouterSettings settings) {
        AttemptContext upstreams =
                new AttemptContext(
                        mVm,
                        mParts.upstreamTable(),
                        mParts.chooser(),
                        new RetryPolicy(),
                        RetryBudget.defaults(),
                        mNetwork.upstreams(),
                        mTimers,
                        mClock,
                        settings.limits().upstream());
        return new ServeParts(
                mVm,
                mParts.budgets(),
                mParts.requests(),
                mParts.limits(),
                mParts.queues(),
                upstreams,
                mTimers,
                mMetrics,
                mClock,
                settings.limits().serve());
    }

    private FrontDoor frontDoor(RouterSettings settings) {
        return new FrontDoor(
                new RequestAdmission(mVm, settings.limits().front()),
                mParts.currentConfig(),
                mRunner,
                mParts.addresses(),
                this::notReady,
                () -> MetricsText.render(mMetrics.registry()).getBytes(StandardCharsets.UTF_8),
                mMetrics::refused);
    }

    /** Returns why this router takes no new requests; empty where it does. */
    public Optional<Failure> notReady() {
        if (mShutdown.hasBegun()) {
            return Optional.of(
                    Failure.retryAfter(
                            ErrorKind.SHUTTING_DOWN,
                            "this router shuts down; send the request to another address",
                            0));
        }
        return mParts.config().notReady().or(() -> mParts.requests().notReady());
    }

    /**
     * Returns the configuration, for embedding programs that change it without the operators' API.
     */
    public ConfigStore configuration() {
        return mParts.config();
    }

    /** Returns the operators' side of the budgets, for embedding programs. */
    public BudgetAdmin accounts() {
        return mParts.accounts();
    }

    /** Returns the coordination parts. */
    Coordination parts() {
        return mParts;
    }

    /** Returns this VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns where callers connect. */
    public InetSocketAddress callersAddress() {
        return mNetwork.callers().address();
    }

    /** Returns where operators connect. */
    public InetSocketAddress operatorsAddress() {
        return mNetwork.operators().address();
    }

    /** Returns where other routers connect. */
    public InetSocketAddress peersAddress() {
        return mNetwork.peers().address();
    }

    /** Returns a future that is completed once nothing is left to do after a shutdown began. */
    public CompletableFuture<Void> shutDownFuture() {
        return mShutdown.done();
    }

    /** Returns the number of requests in progress. */
    public int running() {
        return mRunner.running();
    }

    /**
     * Shuts down gracefully: leaves the address answers, refuses new requests, finishes those in
     * progress, hands over grants and bills, and closes.
     *
     * @return completed when all is closed
     */
    public CompletableFuture<Void> shutDown() {
        return mShutdown.begin(mClock.nowMs()).thenRunAsync(this::close);
    }

    /** Begins the shutdown for an operator; the process that runs the router then closes it. */
    private final class Drain implements DrainControl {
        @Override
        public void begin(long nowMs) {
            var unused = mShutdown.begin(nowMs);
        }

        @Override
        public long inFlight() {
            return mRunner.running();
        }
    }

    /** Closes at once, as a crash would: requests in progress are cut, grants are not returned. */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return; // Closed loops would never complete a second close.
        }
        mTicks.close();
        mNetwork.close();
        mTimers.close();
    }
}
