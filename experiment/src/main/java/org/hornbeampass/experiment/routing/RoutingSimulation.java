package org.hornbeampass.experiment.routing;

import org.hornbeampass.standin.engine.EngineNews;
import org.hornbeampass.standin.engine.EngineTiming;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.ListedUpstream;
import org.hornbeampass.state.upstream.UpstreamList;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs eight VMs before a site's upstreams in virtual time.
 *
 * <p>The same settings and faults give the same measurements. Not thread-safe.
 */
final class RoutingSimulation {
    private static final int MAX_CONCURRENT = 64;
    private static final double SAME_DOMAIN_MS = 0.2;
    private static final double POLL_MS = 100;
    private static final double CACHE_POLL_MS = 500;
    private static final double SAMPLE_MS = 50;
    private static final long DRAIN_MS = 15_000;
    private static final double CACHE_LOSS = 0.0005;
    private static final int CACHE_RETAINED = 6_000;

    private final VirtualClock mClock = new VirtualClock();
    private final Measurements mMeasurements = new Measurements();
    private final SimulationSettings mSettings;
    private final List<SimulatedUpstream> mUpstreams = new ArrayList<>();
    private final List<SimulatedUpstream> mRunners = new ArrayList<>();
    private final Map<UpstreamId, SimulatedUpstream> mById = new HashMap<>();
    private final List<SimulatedVm> mVms = new ArrayList<>();
    private final List<SimulatedRequest> mDemand;
    private long mListVersion;

    RoutingSimulation(SimulationSettings settings) {
        mSettings = settings;
        Site site = settings.site();
        for (int i = 0; i < site.runners(); i++) {
            mRunners.add(add("runner-" + i, i, Optional.of(0), site.runnerTiming()));
        }
        for (int i = 0; i < site.services(); i++) {
            add("service-" + i, i, Optional.empty(), site.serviceTiming());
        }
        Map<UpstreamId, UpstreamSpec> specs = new HashMap<>();
        mUpstreams.forEach(u -> specs.put(u.spec().id(), u.spec()));
        ConfigSnapshot config = new ConfigSnapshot(1, Map.of(), Map.of(), specs);
        for (int i = 0; i < Demand.VMS; i++) {
            SimulatedVm vm = new SimulatedVm(mClock, i, settings, config);
            mVms.add(vm);
            double offset = POLL_MS * i / Demand.VMS;
            mClock.every(offset, POLL_MS, () -> vm.poll(mUpstreams));
            mClock.every(offset, CACHE_POLL_MS, () -> mUpstreams.forEach(vm::pollCache));
        }
        mClock.every(SAMPLE_MS, SAMPLE_MS, this::sample);
        mDemand = Demand.of(site, settings.load(), settings.lengthMs(), settings.seed());
        for (SimulatedRequest request : mDemand) {
            mClock.at((double) request.arrivedAtMs(), () -> arrive(request));
        }
    }

    VirtualClock clock() {
        return mClock;
    }

    Measurements measurements() {
        return mMeasurements;
    }

    SimulationSettings settings() {
        return mSettings;
    }

    List<SimulatedUpstream> runners() {
        return mRunners;
    }

    SimulatedUpstream upstream(UpstreamId id) {
        return mById.get(id);
    }

    double oneWayMs(SimulatedVm vm, SimulatedUpstream upstream) {
        boolean near = SimulatedVm.domain(vm.number()).equals(upstream.spec().domain());
        return near ? SAME_DOMAIN_MS : mSettings.site().oneWayMs();
    }

    /** Gives each VM the platform's list, which shows some runners as leaving. */
    void list(List<SimulatedUpstream> leaving) {
        mListVersion++;
        List<ListedUpstream> lines =
                mUpstreams.stream()
                        .map(u -> new ListedUpstream(u.spec().id(), 1, leaving.contains(u)))
                        .toList();
        UpstreamList list = new UpstreamList(mListVersion, lines);
        mVms.forEach(vm -> vm.table().onListed(mClock.nowMs(), list));
    }

    /** Runs to the end and returns what was measured. */
    Measurements run() {
        mClock.runUntil((double) (mSettings.lengthMs() + DRAIN_MS));
        return mMeasurements;
    }

    private void arrive(SimulatedRequest request) {
        mMeasurements.mRequests++;
        new RequestRun(this, mVms.get(request.vm()), request, 1).start();
    }

    private void sample() {
        if (mClock.nowMs() <= mSettings.lengthMs()) {
            mMeasurements.sample(mRunners, mClock.nowMs());
        }
    }

    private SimulatedUpstream add(
            String name, int number, Optional<Integer> model, EngineTiming timing) {
        UpstreamSpec spec =
                new UpstreamSpec(
                        new UpstreamId(name),
                        "http://127.0.0.1:1",
                        model.map(m -> Demand.MODEL),
                        model.isPresent() ? Optional.empty() : Optional.of(Demand.SERVICE),
                        SimulatedVm.domain(number),
                        new Region("region"),
                        true,
                        MAX_CONCURRENT);
        EngineNews news =
                new EngineNews(
                        mSettings.lagMs(),
                        mSettings.lagMs(),
                        CACHE_LOSS,
                        CACHE_RETAINED,
                        mSettings.seed() + number);
        SimulatedUpstream upstream = new SimulatedUpstream(mClock, spec, timing, news);
        mUpstreams.add(upstream);
        mById.put(spec.id(), upstream);
        return upstream;
    }
}
