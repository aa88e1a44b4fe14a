package org.hornbeampass.transport.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * What all connections of one server share: counts, and whether the server is draining.
 *
 * <p>Invariant: neither count is ever negative, and draining never ends. Thread-safe.
 */
final class ServerStatus {
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile boolean mDraining;

    int inFlight() {
        return mInFlight.get();
    }

    void requestArrived() {
        mInFlight.incrementAndGet();
    }

    void requestAnswered() {
        mInFlight.decrementAndGet();
    }

    /** Counts a new connection and returns how many are open with it. */
    int connectionOpened() {
        return mConnections.incrementAndGet();
    }

    void connectionClosed() {
        mConnections.decrementAndGet();
    }

    void startDraining() {
        mDraining = true;
    }

    boolean draining() {
        return mDraining;
    }
}
