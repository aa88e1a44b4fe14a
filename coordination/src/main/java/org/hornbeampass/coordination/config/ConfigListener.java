package org.hornbeampass.coordination.config;

import org.hornbeampass.state.config.ConfigSnapshot;

/**
 * Hears of newly applied configurations.
 *
 * <p>Called with no lock of the store held, on the thread that applied the change; calls may
 * overlap and come in either order, so a listener that keeps state compares revisions.
 */
@FunctionalInterface
public interface ConfigListener {
    /**
     * A newer configuration is in force on this VM.
     *
     * @param nowMs the present time in milliseconds
     * @param snapshot the configuration
     */
    void onChange(long nowMs, ConfigSnapshot snapshot);
}
