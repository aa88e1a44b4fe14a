package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.fleet.Operator;
import org.hornbeampass.experiment.verdict.LeavingGetsNoWork;
import org.hornbeampass.experiment.verdict.Observation;
import org.hornbeampass.experiment.verdict.Span;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.engine.EngineFault;
import org.hornbeampass.standin.engine.EngineStandIn;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * The fleet as faults reach it, each in the thread of its own step.
 *
 * <p>Thread-safe, so long as no two steps stop or start the same router at once.
 */
final class FaultContext {
    private final Fleet mFleet;
    private final Journal mJournal;

    FaultContext(Fleet fleet, Journal journal) {
        mFleet = fleet;
        mJournal = journal;
    }

    Fleet fleet() {
        return mFleet;
    }

    /** Returns an operator for one thread. */
    Operator operator() {
        return new Operator(mFleet);
    }

    /** Returns the VM names of all routers but some. */
    List<String> routersBut(List<String> some) {
        return IntStream.range(0, mFleet.spec().routers())
                .mapToObj(Fleet::vmName)
                .filter(name -> !some.contains(name))
                .toList();
    }

    /**
     * Returns the place of a router, or of an upstream, from the number that its name ends with.
     */
    static int place(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    EngineStandIn engine(String name) {
        return mFleet.engines().get(place(name));
    }

    void setEngineFault(List<String> engines, EngineFault fault, double probability) {
        for (String name : engines) {
            engine(name).faults().set(fault, FaultRule.withProbability(probability, 0));
        }
    }

    void clearEngineFault(List<String> engines, EngineFault fault) {
        engines.forEach(name -> engine(name).faults().clear(fault));
    }

    /** Notes that routers were out of reach from the begin of a step until now. */
    void noteOutOfReach(List<String> routers, long fromMs) {
        for (String name : routers) {
            mJournal.outOfReach(new Span(name, address(name), fromMs, System.currentTimeMillis()));
        }
    }

    private String address(String vmName) {
        return mFleet.callersAddress(place(vmName));
    }

    /** Crashes a router, and starts it anew after a time. */
    void crash(String vmName, long downMs) {
        long fromMs = System.currentTimeMillis();
        mFleet.crash(place(vmName));
        sleep(downMs);
        mFleet.replace(place(vmName));
        awaitReady(vmName);
        noteOutOfReach(List.of(vmName), fromMs);
    }

    /** Restarts a router gracefully. */
    void restart(String vmName) {
        long fromMs = System.currentTimeMillis();
        String address = address(vmName);
        mFleet.shutDown(place(vmName));
        long closedMs = System.currentTimeMillis();
        mJournal.restarted(new Span(vmName, address, fromMs, closedMs));
        mFleet.replace(place(vmName));
        awaitReady(vmName);
        noteOutOfReach(List.of(vmName), fromMs);
    }

    private void awaitReady(String vmName) {
        Fleet.await(
                vmName + " is ready",
                () -> mFleet.routers().get(place(vmName)).notReady().isEmpty());
    }

    /** Makes an engine leave for a time; counts what it is offered after the grace time. */
    void leave(String name, long forMs) {
        EngineStandIn engine = engine(name);
        engine.setLeaving(true).join();
        sleep(Math.min(forMs, LeavingGetsNoWork.GRACE_MS));
        long before = engine.refusedWhileLeaving();
        sleep(Math.max(0, forMs - LeavingGetsNoWork.GRACE_MS));
        long offers = engine.refusedWhileLeaving() - before;
        engine.setLeaving(false).join();
        mJournal.left(new Observation.Leaving(name, offers));
    }

    void event(String what) {
        mJournal.event(System.currentTimeMillis(), what);
    }

    /** Waits in the thread of a step. */
    static void sleep(long ms) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < endNanos && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(endNanos - System.nanoTime());
        }
    }
}
