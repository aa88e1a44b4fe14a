package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.limit.AdmissionQueue;
import org.hornbeampass.coordination.upstream.UpstreamStatus;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps one admission queue for each model and each service. The capacity of a queue is the number
 * of requests that this VM may run on the target's upstreams at once.
 *
 * <p>The adapters of a model share the model's queue. Thread-safe.
 */
public final class TargetQueues {
    private final Map<String, AdmissionQueue> mQueues = new ConcurrentHashMap<>();
    private final int mMaxWaiting;

    /**
     * Creates an empty set of queues; a queue admits no request until {@link #resize} sets its
     * capacity.
     *
     * @param maxWaiting the largest number of requests that may wait for one target
     */
    public TargetQueues(int maxWaiting) {
        mMaxWaiting = maxWaiting;
    }

    /** Returns the queue of a target. */
    AdmissionQueue queue(WorkTarget target) {
        return queue(name(target));
    }

    private AdmissionQueue queue(String name) {
        return mQueues.computeIfAbsent(name, n -> new AdmissionQueue(0, mMaxWaiting));
    }

    /** Sets the capacity of each queue to the sum of the limits of its target's live upstreams. */
    public void resize(long nowMs, ConfigSnapshot config, List<UpstreamStatus> upstreams) {
        Map<String, Integer> capacities = new HashMap<>();
        mQueues.keySet().forEach(name -> capacities.put(name, 0));
        for (UpstreamStatus upstream : upstreams) {
            UpstreamSpec spec = config.upstreams().get(upstream.id());
            if (spec != null && upstream.live()) {
                capacities.merge(name(spec), upstream.limit(), Integer::sum);
            }
        }
        capacities.forEach((name, capacity) -> queue(name).setCapacity(nowMs, capacity));
    }

    /** Sheds the waiting requests whose deadline has passed. */
    public void expire(long nowMs) {
        mQueues.values().forEach(q -> q.expire(nowMs));
    }

    /** Returns the number of waiting requests of all targets. */
    public int waitingCount() {
        return mQueues.values().stream().mapToInt(AdmissionQueue::waiting).sum();
    }

    private static String name(WorkTarget target) {
        return target.service()
                .map(s -> "service " + s)
                .orElseGet(() -> "model " + target.model().orElseThrow());
    }

    private static String name(UpstreamSpec spec) {
        return spec.service()
                .map(s -> "service " + s)
                .orElseGet(() -> "model " + spec.model().orElseThrow());
    }
}
