package org.hornbeampass.router.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.admission.AdmissionSettings;
import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.coordination.escrow.EscrowLoans;
import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.ratelimit.SendPermits;
import org.hornbeampass.coordination.service.RetryWindow;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.coordination.stream.StreamHistory;
import org.hornbeampass.coordination.stream.StreamOrigins;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The state and the services that all requests of one VM share.
 *
 * <p>Confined to one event loop, except for its construction.
 */
public final class RelayContext {
    private final WireFormat mWire;
    private RelaySettings mSettings;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final UpstreamRegistry mUpstreamRegistry;
    private final UpstreamPool mPool;
    private final Forwarding mForwarding;
    private final CrashDetector mCrashDetector;
    private final RequestHasher mHasher;
    private final Quarantine mQuarantine;
    private final AnswerSignals mAnswerSignals;
    private final SendPermits mPermits;
    private final EscrowBook mBudgets;
    private final EscrowLoans mLoans;
    private final StreamOrigins mOrigins;
    private final StreamHistory mStreamHistory;
    private final RelayLog mLog;
    private final RandomGenerator mRandom;
    private final IntSupplier mVmCount;
    private final ViewStatus mViews;
    private final LongSupplier mLoopDelayMs;
    private Intake mIntake;
    private Optional<BacklogIntake> mBacklogIntake = Optional.empty();
    private final Map<String, RetryWindow> mRetryWindows = new HashMap<>();
    private Optional<RouteTable> mRoutes = Optional.empty();
    private Optional<RelayAdmission> mAdmission = Optional.empty();
    private Optional<BufferLimit> mBufferLimit = Optional.empty();
    private final ShutdownPolicy mShutdown = new ShutdownPolicy();

    /**
     * Creates the context. {@code vmCount} returns how many VMs share the fleet's budgets, and
     * {@code loopDelayMs} how late the event loop is, in milliseconds.
     */
    public RelayContext(
            WireFormat wire,
            RelaySettings settings,
            EventLoop loop,
            Clock clock,
            UpstreamRegistry upstreamRegistry,
            UpstreamPool pool,
            Forwarding forwarding,
            RequestHasher hasher,
            Quarantine quarantine,
            SignalExchange signals,
            SendPermits permits,
            EscrowBook budgets,
            EscrowLoans loans,
            StreamOrigins origins,
            StreamHistory streamHistory,
            RelayLog log,
            RandomGenerator random,
            IntSupplier vmCount,
            ViewStatus views,
            LongSupplier loopDelayMs) {
        mWire = wire;
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        mUpstreamRegistry = upstreamRegistry;
        mPool = pool;
        mForwarding = forwarding;
        mCrashDetector = new CrashDetector(pool, forwarding.reach(), loop, clock, log, quarantine);
        mQuarantine = quarantine;
        mAnswerSignals = new AnswerSignals(signals, upstreamRegistry.slowStarts(), log);
        mPermits = permits;
        mHasher = hasher;
        mBudgets = budgets;
        mLoans = loans;
        mOrigins = origins;
        mStreamHistory = streamHistory;
        mLog = log;
        mRandom = random;
        mVmCount = vmCount;
        mViews = views;
        mLoopDelayMs = loopDelayMs;
        mIntake = new LoopDelayIntake(loopDelayMs);
    }

    /** Takes in requests by this VM's backlog and their urgency from now on. */
    void setIntake(BacklogIntake intake) {
        mIntake = intake;
        mBacklogIntake = Optional.of(intake);
        mRoutes.ifPresent(r -> intake.setConfig(r.config()));
    }

    /** Bounds what is held for slow readers from now on; only before the first request. */
    void limitBuffers(BufferLimit limit) {
        mBufferLimit = Optional.of(limit);
        mIntake = new BufferIntake(limit, mLog, mIntake);
        mPool.setBufferLimit(limit);
        mForwarding.pool().setBufferLimit(limit);
    }

    Optional<BufferLimit> bufferLimit() {
        return mBufferLimit;
    }

    /**
     * Schedules an action, which receives the time in milliseconds, to run after a delay in
     * milliseconds unless the request has ended by then. Returns a handle that cancels it.
     */
    Runnable timer(long delayMs, BooleanSupplier ended, LongConsumer action) {
        var scheduled =
                mLoop.schedule(
                        () -> {
                            if (!ended.getAsBoolean()) {
                                action.accept(mClock.nowMs());
                            }
                        },
                        Math.max(0, delayMs),
                        TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    Intake intake() {
        return mIntake;
    }

    /** Returns the wire format of the installation. */
    public WireFormat wire() {
        return mWire;
    }

    EventLoop loop() {
        return mLoop;
    }

    public Clock clock() {
        return mClock;
    }

    /** Returns the board of upstreams. */
    public UpstreamRegistry upstreamRegistry() {
        return mUpstreamRegistry;
    }

    /** Returns the pool of connections to upstreams. */
    public UpstreamPool pool() {
        return mPool;
    }

    Forwarding forwarding() {
        return mForwarding;
    }

    StreamOrigins origins() {
        return mOrigins;
    }

    /** Returns where streams began by the records in the store. */
    public StreamHistory streamHistory() {
        return mStreamHistory;
    }

    /** Returns whether there may be upstreams at a time in milliseconds that this VM misses. */
    boolean upstreamsMayBeStale(long nowMs) {
        return mViews.upstreamsMayBeStale(nowMs);
    }

    CrashDetector crashDetector() {
        return mCrashDetector;
    }

    RequestHasher hasher() {
        return mHasher;
    }

    AnswerSignals answerSignals() {
        return mAnswerSignals;
    }

    SendPermits permits() {
        return mPermits;
    }

    Quarantine quarantine() {
        return mQuarantine;
    }

    /** Returns the prepaid budgets. */
    public EscrowBook budgets() {
        return mBudgets;
    }

    EscrowLoans loans() {
        return mLoans;
    }

    /** Returns how late the event loop is, in milliseconds. */
    long loopDelayMs() {
        return mLoopDelayMs.getAsLong();
    }

    /** Returns the log of decisions. */
    public RelayLog log() {
        return mLog;
    }

    int vmCount() {
        return mVmCount.getAsInt();
    }

    RandomGenerator random() {
        return mRandom;
    }

    /** Returns the configuration in force; empty until one has been received. */
    public Optional<RouteTable> routes() {
        return mRoutes;
    }

    /**
     * Returns whether this VM knows the configuration and the evacuations, without which it must
     * send nothing.
     */
    public boolean isConfigured() {
        return mRoutes.isPresent() && mViews.evacuationsKnown();
    }

    /** Returns whether there may be a newer configuration than the one in force. */
    boolean configMayBeStale(long nowMs) {
        return mViews.configMayBeStale(nowMs);
    }

    /** Sets the configuration for the requests that arrive from now on. */
    public void setRoutes(RouteTable routes) {
        mRoutes = Optional.of(routes);
        mShutdown.answerTimes().retain(routes.config().routes());
        mLog.changes().onConfig(mClock.nowMs(), routes.config().version());
        mAdmission.ifPresent(a -> a.setConfig(routes.config()));
        mBacklogIntake.ifPresent(i -> i.setConfig(routes.config()));
    }

    /** Admits requests by the operator's order from now on. */
    public void enableAdmission(AdmissionSettings settings) {
        mAdmission = Optional.of(new RelayAdmission(this, settings));
    }

    /** Returns the admission by the operator's order; empty where it is off. */
    Optional<RelayAdmission> admission() {
        return mAdmission;
    }

    /** Returns the admission if requests also wait for the room of a service; else empty. */
    Optional<RelayAdmission> roomAdmission() {
        return mAdmission.filter(a -> a.settings().limitsRoom());
    }

    /** Sets the bounds for the sends that start from now on. */
    public void setSettings(RelaySettings settings) {
        mSettings = settings;
    }

    /** Returns what may be sent while this process shuts down. */
    public ShutdownPolicy shutdown() {
        return mShutdown;
    }

    void countFirstSend(long nowMs, String service) {
        retryWindow(service).onFirstSend(nowMs);
    }

    /** Returns whether the fleet's limit allows a retry now, without taking it. */
    boolean isRetryAvailable(long nowMs, String service) {
        return retryWindow(service)
                .isAvailable(
                        nowMs, mSettings.retryRatio(), mSettings.retryExtra(), mVmCount.getAsInt());
    }

    boolean tryTakeRetry(long nowMs, String service) {
        return retryWindow(service)
                .tryTake(
                        nowMs, mSettings.retryRatio(), mSettings.retryExtra(), mVmCount.getAsInt());
    }

    private RetryWindow retryWindow(String service) {
        return mRetryWindows.computeIfAbsent(
                service, s -> new RetryWindow(mSettings.retryWindowMs()));
    }
}
