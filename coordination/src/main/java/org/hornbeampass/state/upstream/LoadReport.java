package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.Objects;
import java.util.Set;

/**
 * An upstream's own report of its load, which arrives late.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reportedAtMs when it was made, in milliseconds of the receiving VM's clock: the receiver
 *     subtracts the age that the report states
 * @param incarnation a number that grows with each start of the upstream; 0 where it has none
 * @param running requests in the running batch
 * @param waiting requests that wait for the batch
 * @param kvUsed the used share of the KV cache, from 0 to 1
 * @param leaving whether the upstream wants no new work
 * @param readyModels models that can serve now; empty for a plain service
 * @param readyAdapters adapters that can serve now
 */
public record LoadReport(
        long reportedAtMs,
        long incarnation,
        int running,
        int waiting,
        double kvUsed,
        boolean leaving,
        Set<ModelId> readyModels,
        Set<String> readyAdapters) {
    /** Copies the sets and checks the counts. */
    public LoadReport {
        Objects.requireNonNull(readyModels, "readyModels");
        Objects.requireNonNull(readyAdapters, "readyAdapters");
        if (running < 0 || waiting < 0) {
            throw new IllegalArgumentException(
                    "running and waiting must not be negative: " + running + ", " + waiting);
        }
        readyModels = Set.copyOf(readyModels);
        readyAdapters = Set.copyOf(readyAdapters);
    }
}
