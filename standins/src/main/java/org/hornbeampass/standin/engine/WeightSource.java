package org.hornbeampass.standin.engine;

import java.util.function.Consumer;

/**
 * Where an engine fetches the weights of what it loads.
 *
 * <p>Implementations are thread-safe.
 */
interface WeightSource {
    /**
     * Starts fetching an artifact.
     *
     * @param nowMs the present time in milliseconds
     * @param artifact its name
     * @param done told once, on any thread, whether the artifact came whole
     */
    void fetch(long nowMs, String artifact, Consumer<Boolean> done);
}
