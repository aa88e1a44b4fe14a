package org.hornbeampass.coordination.config;

import org.hornbeampass.state.config.ConfigSnapshot;

/**
 * Receives each newly applied configuration.
 *
 * <p>Called on the thread that applied the change, without a lock of the store held. Calls may be
 * concurrent and out of order, so a listener that keeps state must compare revisions.
 */
@FunctionalInterface
public interface ConfigListener {
    /**
     * Called when a newer configuration has been applied on this VM.
     *
     * @param nowMs the present time in milliseconds
     * @param snapshot the configuration
     */
    void onChange(long nowMs, ConfigSnapshot snapshot);
}
