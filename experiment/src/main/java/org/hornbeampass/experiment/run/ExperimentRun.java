package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.fleet.Operator;
import org.hornbeampass.experiment.load.Arrival;
import org.hornbeampass.experiment.load.ArrivalSchedule;
import org.hornbeampass.experiment.load.LoadRunner;
import org.hornbeampass.experiment.load.OrganisationPlan;
import org.hornbeampass.experiment.verdict.Observation;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.NettyHttpClient;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;

/**
 * Runs an experiment from the start of its fleet to the last look at it.
 *
 * <p>For use by one thread.
 */
final class ExperimentRun {
    private static final long SETTLE_MS = 2_500;
    private static final long STEP_PATIENCE_MS = 180_000;
    private static final long LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Experiment mExperiment;
    private final Progress mProgress;
    private final Journal mJournal = new Journal();

    ExperimentRun(Experiment experiment, Progress progress) {
        mExperiment = experiment;
        mProgress = progress;
    }

    /** Runs it. */
    Outcome run() {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        mProgress.say("starting " + mExperiment.fleet().routers() + " routers");
        try (Fleet fleet = Fleet.start(mExperiment.fleet());
                HttpClient client = NettyHttpClient.create(Clock.monotonic());
                Watch watch = new Watch(fleet, client, mExperiment.organisations())) {
            LoadRunner load =
                    new LoadRunner(
                            client,
                            timer,
                            mExperiment.fleet().model(),
                            mExperiment.fleet().service());
            setUp(fleet, load);
            watch.start();
            return drive(fleet, load, watch);
        } finally {
            timer.shutdownNow();
        }
    }

    private void setUp(Fleet fleet, LoadRunner load) {
        mProgress.say("setting up templates, upstreams and organisations");
        fleet.services().forEach(s -> s.records().append("", "", "", "the first record"));
        Operator operator = new Operator(fleet);
        operator.setUpFleet();
        List<String> addresses =
                IntStream.range(0, mExperiment.fleet().routers())
                        .mapToObj(fleet::callersAddress)
                        .toList();
        for (OrganisationPlan plan : mExperiment.organisations()) {
            String key =
                    operator.createOrganisation(
                            plan.name(),
                            plan.preference().name().toLowerCase(java.util.Locale.ROOT),
                            plan.priority(),
                            plan.paidTokens());
            load.addOrganisation(plan.name(), key, addresses);
        }
        operator.awaitInForce();
    }

    private Outcome drive(Fleet fleet, LoadRunner load, Watch watch) {
        List<Arrival> arrivals =
                ArrivalSchedule.draw(
                        mExperiment.organisations(), mExperiment.durationMs(), mExperiment.seed());
        long startMs = System.currentTimeMillis();
        long startNanos = System.nanoTime() + LEAD_NANOS;
        FaultContext context = new FaultContext(fleet, mJournal);
        try (FaultRunner faults = new FaultRunner(context);
                Progress.Ticker ticker = mProgress.start(load, mJournal, arrivals.size())) {
            faults.start(mExperiment.timeline(), startNanos);
            CompletableFuture<Void> ended = load.start(arrivals, startNanos);
            boolean all = await(ended);
            ticker.say("the last request has ended, or the patience is over");
            faults.await(STEP_PATIENCE_MS);
            FaultContext.sleep(SETTLE_MS);
            watch.lookAtPlatform();
            return outcome(fleet, load, watch, startMs, all ? 0 : arrivals.size() - load.ended());
        }
    }

    private boolean await(CompletableFuture<Void> ended) {
        try {
            ended.get(mExperiment.durationMs() + mExperiment.drainMs(), TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("the load failed", e);
        }
    }

    private Outcome outcome(
            Fleet fleet, LoadRunner load, Watch watch, long startMs, long unanswered) {
        mProgress.say("reading what upstreams ran and what the platform stores");
        Observation seen =
                new Observation(
                        load.seen(),
                        UpstreamReader.read(fleet, mJournal.leavings()),
                        stored(fleet, watch),
                        new Observation.Routers(
                                watch.revisions(),
                                mJournal.restarts(),
                                mJournal.outOfReach(),
                                System.currentTimeMillis()));
        return new Outcome(
                mExperiment,
                startMs,
                unanswered,
                seen,
                load.latencies().summaries(),
                mJournal.events());
    }

    private Observation.Stored stored(Fleet fleet, Watch watch) {
        PlatformReader reader = watch.reader();
        return new Observation.Stored(
                mExperiment.organisations().stream()
                        .flatMap(plan -> reader.bills(plan.name()).stream())
                        .toList(),
                reader.billedTokens(),
                watch.budgets(),
                watch.accepted(),
                audit(fleet));
    }

    private static String audit(Fleet fleet) {
        java.io.StringWriter out = new java.io.StringWriter();
        int code = fleet.console().execute(out, out, "audit");
        return code == 0 ? "" : "hornbeamctl audit exited with " + code + ": " + out;
    }
}
