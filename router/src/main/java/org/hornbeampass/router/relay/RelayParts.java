package org.hornbeampass.router.relay;

import io.netty.channel.EventLoop;

import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.coordination.escrow.EscrowLoans;
import org.hornbeampass.coordination.quarantine.Quarantine;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.ratelimit.RateLimiter;
import org.hornbeampass.coordination.service.RetryWindow;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;

/**
 * What all requests of one VM share.
 *
 * <p>Confined to one event loop, but for its construction.
 */
public final class RelayParts {
    private final WireFormat mWire;
    private RelaySettings mSettings;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final UpstreamRegistry mUpstreamRegistry;
    private final UpstreamPool mPool;
    private final CrashDetector mCrashes;
    private final RequestHasher mHasher;
    private final Quarantine mQuarantine;
    private final AnswerSignals mAnswerSignals;
    private final RateLimiter mLimiter;
    private final EscrowBook mBudgets;
    private final EscrowLoans mLoans;
    private final RelayLog mLog;
    private final RandomGenerator mRandom;
    private final IntSupplier mVms;
    private final LongPredicate mMayBeBehind;
    private final Map<String, RetryWindow> mRetries = new HashMap<>();
    private Optional<RouteTable> mRoutes = Optional.empty();
    private boolean mRefusing;

    /**
     * Gathers the parts; {@code vms} tells how many VMs share the fleet's budgets, and {@code
     * mayBeBehind} whether there may be a newer configuration, at a time in milliseconds.
     */
    public RelayParts(
            WireFormat wire,
            RelaySettings settings,
            EventLoop loop,
            Clock clock,
            UpstreamRegistry upstreamRegistry,
            UpstreamPool pool,
            RequestHasher hasher,
            Quarantine quarantine,
            SignalExchange signals,
            RateLimiter limiter,
            EscrowBook budgets,
            EscrowLoans loans,
            RelayLog log,
            RandomGenerator random,
            IntSupplier vms,
            LongPredicate mayBeBehind) {
        mWire = wire;
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        mUpstreamRegistry = upstreamRegistry;
        mPool = pool;
        mCrashes = new CrashDetector(pool, clock, log, quarantine);
        mQuarantine = quarantine;
        mAnswerSignals = new AnswerSignals(signals, log);
        mLimiter = limiter;
        mHasher = hasher;
        mBudgets = budgets;
        mLoans = loans;
        mLog = log;
        mRandom = random;
        mVms = vms;
        mMayBeBehind = mayBeBehind;
    }

    /** Returns the installation's words. */
    public WireFormat wire() {
        return mWire;
    }

    EventLoop loop() {
        return mLoop;
    }

    Clock clock() {
        return mClock;
    }

    /** Returns the upstreams. */
    public UpstreamRegistry upstreamRegistry() {
        return mUpstreamRegistry;
    }

    /** Returns the connections to upstreams. */
    public UpstreamPool pool() {
        return mPool;
    }

    CrashDetector crashes() {
        return mCrashes;
    }

    RequestHasher hasher() {
        return mHasher;
    }

    AnswerSignals answerSignals() {
        return mAnswerSignals;
    }

    RateLimiter limiter() {
        return mLimiter;
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

    /** Returns the log of decisions. */
    public RelayLog log() {
        return mLog;
    }

    RandomGenerator random() {
        return mRandom;
    }

    /** Returns the configuration in force; empty until one is known. */
    public Optional<RouteTable> routes() {
        return mRoutes;
    }

    /** Returns whether there may be a newer configuration than the one in force. */
    boolean mayBeBehind(long nowMs) {
        return mMayBeBehind.test(nowMs);
    }

    /** Puts a configuration in force for the requests that come from now on. */
    public void setRoutes(RouteTable routes) {
        mRoutes = Optional.of(routes);
    }

    /** Puts bounds in force for the sends that come from now on. */
    public void setSettings(RelaySettings settings) {
        mSettings = settings;
    }

    /** Refuses requests that come from now on. */
    public void refuseNew() {
        mRefusing = true;
    }

    boolean refusing() {
        return mRefusing;
    }

    void countFirst(long nowMs, String service) {
        retries(service).onFirstSend(nowMs);
    }

    boolean takeRetry(long nowMs, String service) {
        return retries(service)
                .tryTake(nowMs, mSettings.retryRatio(), mSettings.retryExtra(), mVms.getAsInt());
    }

    private RetryWindow retries(String service) {
        return mRetries.computeIfAbsent(service, s -> new RetryWindow(mSettings.retryWindowMs()));
    }
}
