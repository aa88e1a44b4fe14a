package org.hornbeampass.router.relay;

/**
 * How far this VM's views of the store can be relied on.
 *
 * <p>Implementations are confined to one event loop.
 */
public interface ViewStatus {
    /** Returns whether there may be a newer configuration at a time in milliseconds. */
    boolean configMayBeStale(long nowMs);

    /** Returns whether there may be upstreams at a time in milliseconds that are not known here. */
    boolean upstreamsMayBeStale(long nowMs);

    /** Returns whether the evacuated failure domains are known. */
    boolean evacuationsKnown();
}
