package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.load.OrganisationPlan;
import org.hornbeampass.experiment.verdict.Observation.Accepted;
import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.hornbeampass.experiment.verdict.Observation.RevisionSample;
import org.hornbeampass.router.daemon.RouterDaemon;
import org.hornbeampass.transport.http.HttpClient;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Looks at the platform's objects and at each router's revision a few times a second.
 *
 * <p>Thread-safe: this object's lock guards what was seen.
 */
final class Watch implements AutoCloseable {
    private static final long BUDGETS_MS = 100;
    private static final long REVISIONS_MS = 500;

    private final Fleet mFleet;
    private final HttpClient mClient;
    private final List<OrganisationPlan> mOrganisations;
    private final PlatformReader mReader;
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final List<BudgetSample> mBudgets = new ArrayList<>();
    private final List<Accepted> mAccepted = new ArrayList<>();
    private final List<RevisionSample> mRevisions = new ArrayList<>();
    private long mNewest;

    Watch(Fleet fleet, HttpClient client, List<OrganisationPlan> organisations) {
        mFleet = fleet;
        mClient = client;
        mOrganisations = organisations;
        mReader = new PlatformReader(fleet.platform().objects());
    }

    void start() {
        ScheduledFuture<?> unusedBudgets =
                mTimer.scheduleAtFixedRate(
                        this::lookAtPlatform, 0, BUDGETS_MS, TimeUnit.MILLISECONDS);
        ScheduledFuture<?> unusedRevisions =
                mTimer.scheduleAtFixedRate(
                        this::askRevisions, 0, REVISIONS_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes one look at each budget and at the configuration's log. */
    synchronized void lookAtPlatform() {
        long nowMs = System.currentTimeMillis();
        for (OrganisationPlan plan : mOrganisations) {
            mReader.budget(nowMs, plan.name()).ifPresent(mBudgets::add);
        }
        long newest = mReader.revisionAfter(mNewest);
        if (newest > mNewest) {
            mNewest = newest;
            mAccepted.add(new Accepted(nowMs, newest));
        }
    }

    private void askRevisions() {
        long nowMs = System.currentTimeMillis();
        for (RouterDaemon router : mFleet.routers()) {
            String name = router.vm().name();
            RevisionProbe.send(
                    mClient,
                    router.operatorsAddress().getPort(),
                    revision -> add(new RevisionSample(nowMs, name, revision)));
        }
    }

    private synchronized void add(RevisionSample sample) {
        mRevisions.add(sample);
    }

    synchronized List<BudgetSample> budgets() {
        return List.copyOf(mBudgets);
    }

    synchronized List<Accepted> accepted() {
        return List.copyOf(mAccepted);
    }

    synchronized List<RevisionSample> revisions() {
        return List.copyOf(mRevisions);
    }

    PlatformReader reader() {
        return mReader;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mReader.close();
    }
}
