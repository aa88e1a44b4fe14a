package org.hornbeampass.router.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.capacity.ConnectionShedding;
import org.hornbeampass.coordination.capacity.IntakeBacklog;
import org.hornbeampass.coordination.capacity.IntakeLimits;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.relay.CallerConnection;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes in requests by this VM's backlog and by their urgency, and closes connections while the VM
 * refuses requests.
 *
 * <p>Takes in all requests until a configuration is set. Confined to one event loop.
 */
final class BacklogIntake implements Intake {
    private final IntakeBacklog mBacklog;
    private final ConnectionShedding mShedding = new ConnectionShedding();
    private final RelayLog mLog;
    private final RandomGenerator mRandom;
    private Optional<IntakeLimits> mLimits = Optional.empty();
    private boolean mIsShedding;
    private int mWaiting;
    private long mClosedConnections;

    /**
     * Creates the intake of one VM.
     *
     * @param tickMs the interval of {@link #tick} in milliseconds
     * @param log receives a line for each refusal
     * @param random spreads the times after which refused callers retry
     */
    BacklogIntake(long tickMs, RelayLog log, RandomGenerator random) {
        mBacklog = new IntakeBacklog(tickMs);
        mLog = log;
        mRandom = random;
    }

    /** Registers the metrics of the intake. */
    void registerMetrics(MetricRegistry metrics) {
        metrics.register("intake_waiting", (Gauge<Integer>) () -> mWaiting);
        metrics.register("intake_connections_closed", (Gauge<Long>) () -> mClosedConnections);
        metrics.register("intake_shedding", (Gauge<Integer>) () -> mIsShedding ? 1 : 0);
    }

    void setConfig(FleetConfig config) {
        mLimits = Optional.of(new IntakeLimits(config));
    }

    /** Records a tick; {@code otherVms} is the number of other live VMs. */
    void tick(long nowMs, int otherVms) {
        mBacklog.onTick(nowMs);
        boolean shedding = mShedding.update(nowMs, otherVms);
        if (shedding != mIsShedding) {
            mIsShedding = shedding;
            mLog.logStateChange(
                    nowMs,
                    shedding ? "shedding-begun" : "shedding-ended",
                    new LogFields()
                            .add("backlog_ms", backlogMs(nowMs))
                            .add("waiting", mWaiting)
                            .add("closed_connections", mClosedConnections));
        }
    }

    private long backlogMs(long nowMs) {
        return Math.round(mBacklog.delayMs(nowMs, mWaiting));
    }

    /** Records the handover of a request whose head was read at a time, in milliseconds. */
    void onHandover(long nowMs, long readMs, int waiting) {
        mWaiting = waiting;
        mBacklog.onHandover(nowMs, readMs);
    }

    boolean closesAfterAnswer(long nowMs, int connections) {
        boolean closes = mShedding.closes(nowMs, connections);
        mClosedConnections += closes ? 1 : 0;
        return closes;
    }

    @Override
    public Optional<Failure> refuse(long nowMs, CallerConnection caller, String id, Route route) {
        return mLimits.flatMap(l -> refuse(nowMs, caller, id, l.largestLimitMs(route)));
    }

    @Override
    public Optional<Failure> refuse(
            long nowMs,
            CallerConnection caller,
            String id,
            Route route,
            Optional<PrepaidOrganisation> organisation) {
        return mLimits.flatMap(l -> refuse(nowMs, caller, id, l.limitMs(route, organisation)));
    }

    private Optional<Failure> refuse(
            long nowMs, CallerConnection caller, String id, double limitMs) {
        double backlogMs = mBacklog.delayMs(nowMs, mWaiting);
        if (backlogMs < limitMs) {
            return Optional.empty();
        }
        mShedding.onRefusal(nowMs);
        mLog.logIntakeRefusal(nowMs, id, backlogMs, limitMs, mWaiting);
        caller.closeAfterAnswer();
        return Optional.of(Refusals.backlogged(Math.round(backlogMs), mRandom));
    }
}
