package org.hornbeampass.state.upstream;

import org.hornbeampass.state.ModelId;

import java.util.Objects;
import java.util.Set;

/**
 * A report of an upstream about its load, which may arrive late.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reportedAtMs when the report was made, in milliseconds of the receiving VM's clock: the
 *     time of receipt less the age that the report states
 * @param incarnation a number that increases with each start of the upstream; 0 if it has none
 * @param running the number of requests in the running batch
 * @param waiting the number of requests that wait to join the batch
 * @param kvUsed the used share of the KV cache, from 0 to 1
 * @param leaving whether the upstream asks for no new requests
 * @param readyModels the models that are loaded and can serve requests; empty for a plain service
 * @param readyAdapters the adapters that are loaded and can serve requests
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
