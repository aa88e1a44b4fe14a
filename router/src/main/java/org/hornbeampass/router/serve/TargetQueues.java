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
 * Keeps one admission queue for each model and service, as wide as its upstreams allow this VM.
 *
 * <p>Adapters of a model share its queue. Thread-safe.
 */
public final class TargetQueues {
    private final Map<String, AdmissionQueue> mQueues = new ConcurrentHashMap<>();
    private final int mMaxWaiting;

    /**
     * Makes queues that are closed until {@link #resize}.
     *
     * @param maxWaiting how many requests may wait for one target
     */
    public TargetQueues(int maxWaiting) {
        mMaxWaiting = maxWaiting;
    }

    /** Returns the queue for a target. */
    AdmissionQueue queue(WorkTarget target) {
        return queue(name(target));
    }

    private AdmissionQueue queue(String name) {
        return mQueues.computeIfAbsent(name, n -> new AdmissionQueue(0, mMaxWaiting));
    }

    /** Sets each queue's width to the sum of its live upstreams' limits. */
    public void resize(long nowMs, ConfigSnapshot config, List<UpstreamStatus> upstreams) {
        Map<String, Integer> widths = new HashMap<>();
        mQueues.keySet().forEach(name -> widths.put(name, 0));
        for (UpstreamStatus upstream : upstreams) {
            UpstreamSpec spec = config.upstreams().get(upstream.id());
            if (spec != null && upstream.live()) {
                widths.merge(name(spec), upstream.limit(), Integer::sum);
            }
        }
        widths.forEach((name, width) -> queue(name).setCapacity(nowMs, width));
    }

    /** Answers the waiting requests whose deadline has passed. */
    public void expire(long nowMs) {
        mQueues.values().forEach(q -> q.expire(nowMs));
    }

    /** Returns how many requests wait, over all targets. */
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
