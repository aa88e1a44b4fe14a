package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.capacity.IntakePause;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.TurnListener;
import org.hornbeampass.transport.relay.CallerServer;

import java.util.List;
import java.util.function.Supplier;

/**
 * Refuses new connections of callers while a request would wait too long for its turns of the event
 * loop.
 *
 * <p>Confined to one event loop.
 */
final class IntakePauseControl implements TurnListener {
    private static final double NS_PER_MS = 1e6;

    private final IntakePause mPause = new IntakePause();
    private final CallerServer mCallers;
    private final Clock mClock;
    private final OverloadMonitor mOverloads;
    private final Supplier<List<Member>> mOthers;
    private final RelayLog mLog;
    private long mPauses;
    private long mBegunMs;

    private IntakePauseControl(
            CallerServer callers,
            Clock clock,
            OverloadMonitor overloads,
            Supplier<List<Member>> others,
            RelayLog log) {
        mCallers = callers;
        mClock = clock;
        mOverloads = overloads;
        mOthers = others;
        mLog = log;
    }

    /**
     * Creates the control of one VM.
     *
     * @param callers the server to which callers connect
     * @param clock the source of the present time
     * @param overloads measures how late the event loop is, and knows the overloaded VMs
     * @param others returns the other live VMs
     * @param log receives a line when a pause begins or ends
     * @param metrics where the metrics are registered
     */
    static IntakePauseControl create(
            CallerServer callers,
            Clock clock,
            OverloadMonitor overloads,
            Supplier<List<Member>> others,
            RelayLog log,
            MetricRegistry metrics) {
        IntakePauseControl control = new IntakePauseControl(callers, clock, overloads, others, log);
        metrics.register("intake_pauses", (Gauge<Long>) () -> control.mPauses);
        metrics.register("intake_paused", (Gauge<Integer>) () -> callers.isPaused() ? 1 : 0);
        metrics.register("intake_request_ms", (Gauge<Long>) control::requestMs);
        return control;
    }

    private long requestMs() {
        return Math.round(mPause.requestMs());
    }

    /** Updates the number of other VMs. */
    void tick() {
        mPause.setOtherVms(mOthers.get().size());
    }

    @Override
    public void onTurn(long workedNs) {
        long nowMs = mClock.nowMs();
        boolean pause = mPause.onTurn((double) nowMs, workedNs / NS_PER_MS);
        if (pause != mCallers.isPaused()) {
            change(nowMs, pause);
        }
    }

    private void change(long nowMs, boolean pause) {
        LogFields fields =
                new LogFields()
                        .add("request_ms", requestMs())
                        .add("loop_delay_ms", mOverloads.loopDelayMs());
        if (pause) {
            mPauses++;
            mBegunMs = nowMs;
            mCallers.pause();
            fields.add("other_vms", mOthers.get().size())
                    .add("overloaded_vms", mOverloads.overloaded().size());
        } else {
            mCallers.resume();
            fields.add("paused_ms", nowMs - mBegunMs);
        }
        fields.add("connections", mCallers.connections());
        mLog.logStateChange(nowMs, pause ? "intake-paused" : "intake-resumed", fields);
    }
}
