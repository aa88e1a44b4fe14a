package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.admission.AdmissionSettings;
import org.hornbeampass.coordination.admission.RoomQueue;
import org.hornbeampass.coordination.admission.RoomShare;
import org.hornbeampass.coordination.admission.UrgencyRanks;
import org.hornbeampass.coordination.admission.UrgencySteps;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Applies the operator's order to the requests of one VM: their urgency at engines, and a queue for
 * the room of each service.
 *
 * <p>Confined to one event loop.
 */
final class RelayAdmission {
    /**
     * How often queues look for room that other VMs have freed, in milliseconds; only while
     * requests wait.
     */
    private static final long TICK_MS = 20;

    private final RelayContext mContext;
    private final AdmissionSettings mSettings;
    private final Map<String, RoomQueue> mQueues = new HashMap<>();
    private Optional<UrgencyRanks> mEngineRanks = Optional.empty();
    private Optional<UrgencyRanks> mRanks = Optional.empty();
    private Optional<ScheduledFuture<?>> mTick = Optional.empty();

    RelayAdmission(RelayContext context, AdmissionSettings settings) {
        mContext = context;
        mSettings = settings;
    }

    AdmissionSettings settings() {
        return mSettings;
    }

    /** Sets the configuration for the requests that arrive from now on. */
    void setConfig(FleetConfig config) {
        mEngineRanks = Optional.of(UrgencyRanks.ofEngines(config));
        mRanks = Optional.of(UrgencyRanks.ofAll(config));
    }

    /** Returns the urgencies of a request at engines; empty where its length alone decides. */
    Optional<UrgencySteps> urgencySteps(Optional<PrepaidOrganisation> organisation, Route route) {
        return mEngineRanks.flatMap(r -> r.of(organisation, route));
    }

    /** Returns the urgency of a request for a place, 0 (first) to 9 (last). */
    int urgency(Optional<PrepaidOrganisation> organisation, Route route) {
        return mRanks.flatMap(r -> r.of(organisation, route)).map(UrgencySteps::first).orElse(0);
    }

    /** Returns the queue for the room of a service. */
    RoomQueue queue(ServiceSpec service) {
        return mQueues.computeIfAbsent(service.name(), name -> newQueue(name, service));
    }

    private RoomQueue newQueue(String name, ServiceSpec service) {
        RoomQueue queue =
                new RoomQueue(
                        mSettings.maxWaiting(),
                        service.engine().isPresent(),
                        nowMs -> mContext.upstreamRegistry().room(nowMs, name),
                        new RoomShare(mContext::vmCount),
                        mContext.random());
        mContext.log().gaugeWaiting(name, queue::waiting);
        return queue;
    }

    /** Starts to look for free room at an interval, until no request waits. */
    void onWaiting() {
        if (mTick.isEmpty()) {
            mTick =
                    Optional.of(
                            mContext.loop().schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS));
        }
    }

    private void tick() {
        mTick = Optional.empty();
        long nowMs = mContext.clock().nowMs();
        mQueues.values().forEach(q -> q.tick(nowMs));
        if (mQueues.values().stream().anyMatch(q -> q.waiting() > 0)) {
            onWaiting();
        }
    }
}
