package org.hornbeampass.router.daemon;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.router.relay.IntakeObserver;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.router.relay.RelayHandler;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerServer;
import org.hornbeampass.transport.relay.LinkBytes;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The server for callers' requests, with what decides how many of them this VM takes in.
 *
 * <p>Confined to one event loop.
 */
final class CallerIntake {
    private final IntakeObserver mObserver;
    private final CallerServer mServer;
    private final Supplier<List<Member>> mOtherVms;
    private final Optional<IntakePauseControl> mPauses;

    private CallerIntake(
            IntakeObserver observer,
            CallerServer server,
            Supplier<List<Member>> otherVms,
            Optional<IntakePauseControl> pauses) {
        mObserver = observer;
        mServer = server;
        mOtherVms = otherVms;
        mPauses = pauses;
    }

    /**
     * Starts listening for callers.
     *
     * @param limits supplies the limits for callers that apply at present
     * @param capacity counts requests and bytes, where the VM's capacity is set
     * @param otherVms returns the other live VMs
     */
    static CallerIntake start(
            RelayDaemonSettings settings,
            EventLoops loops,
            RelayContext context,
            Supplier<CallerLimits> limits,
            Optional<CapacityMonitor> capacity,
            OverloadMonitor overloads,
            Supplier<List<Member>> otherVms,
            MetricRegistry metrics) {
        boolean byBacklog = settings.load().refusesByBacklog();
        IntakeObserver observer =
                IntakeObserver.create(
                        context, settings.load().intake(), RelayDaemon.TICK_MS, metrics);
        CallerHandler handler = new RelayHandler(context);
        Optional<LinkBytes> linkBytes = capacity.map(CapacityMonitor::linkBytes);
        CallerServer server =
                CallerServer.start(
                        loops,
                        settings.listen().callers(),
                        context.clock(),
                        capacity.map(c -> c.counting(handler)).orElse(handler),
                        limits,
                        observer,
                        byBacklog,
                        linkBytes);
        Optional<IntakePauseControl> pauses =
                settings.load().pauseIntake()
                        ? Optional.of(
                                IntakePauseControl.create(
                                        server,
                                        context.clock(),
                                        overloads,
                                        otherVms,
                                        context.log(),
                                        metrics))
                        : Optional.empty();
        pauses.ifPresent(loops::observeTurns);
        return new CallerIntake(observer, server, otherVms, pauses);
    }

    CallerServer server() {
        return mServer;
    }

    void tick(long nowMs) {
        mPauses.ifPresent(IntakePauseControl::tick);
        mObserver.tick(nowMs, () -> mOtherVms.get().size());
        mServer.tick(nowMs);
    }
}
