package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.standin.engine.EngineJob;

/**
 * One request of the seeded demand.
 *
 * <p>Immutable but for the arrays within the job; safe for use by any thread.
 *
 * @param number counts from 0
 * @param arrivedAtMs when it reaches its VM
 * @param vm the VM that it reaches
 * @param query what it asks the chooser for, without excluded upstreams
 * @param job what an engine does for it
 * @param repeatable whether it may run more than once
 */
public record SimulatedRequest(
        int number,
        long arrivedAtMs,
        int vm,
        RoutingQuery query,
        EngineJob job,
        boolean repeatable) {
    /** Returns when its answer is due. */
    public Deadline deadline() {
        return query.deadline();
    }

    /** Returns the job under the name of one attempt. */
    public EngineJob attempt(long number) {
        return new EngineJob(
                job.requestId(),
                job.requestId() + "-" + number,
                job.priority(),
                job.prompt(),
                job.answer());
    }
}
