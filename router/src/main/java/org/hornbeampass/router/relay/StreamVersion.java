package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.UpstreamInstance;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The software version at which a stream must go on: that of the upstream which brought the first
 * event that the caller received.
 *
 * <p>Invariants: once known, the version does not change; a stream whose version has become
 * uncertain goes on at no upstream but the one that is working on it. Confined to one event loop.
 */
final class StreamVersion {
    private final Consumer<String> mOnBegun;
    private Optional<String> mVersion;
    private boolean mUncertain;

    /**
     * Creates the version of one answer's stream.
     *
     * @param version the version that began the stream in an earlier attempt of the caller; empty
     *     where the stream begins with this answer
     * @param onBegun receives the version once the stream begins with this answer
     */
    StreamVersion(Optional<String> version, Consumer<String> onBegun) {
        mVersion = version;
        mOnBegun = onBegun;
    }

    /** Records that events of a send were forwarded to the caller. */
    void onEvents(InFlightSend send) {
        if (mVersion.isEmpty()) {
            mVersion = Optional.of(send.softwareVersion());
            mUncertain = send.hasChangedVersion();
            mOnBegun.accept(send.softwareVersion());
        }
    }

    /** Returns the version; empty while the stream may begin at any. */
    Optional<String> get() {
        return mVersion;
    }

    /**
     * Records that the upstream may have brought events at another version than its entry stated.
     */
    void markUncertain() {
        mUncertain = true;
    }

    /**
     * Returns whether events that a send brings from now on belong to the stream. Those of an
     * upstream that has started again at another version can't follow the events of another send.
     */
    boolean allowsEventsOf(InFlightSend send) {
        return mVersion.isEmpty() || send.hasBroughtEvents() || !send.hasChangedVersion();
    }

    boolean isUncertain() {
        return mUncertain;
    }

    /** Returns whether the stream may go on at an upstream. */
    boolean allows(UpstreamInstance instance) {
        return allows(instance.entry().softwareVersion());
    }

    /** Returns whether the stream may go on at a software version. */
    boolean allows(String softwareVersion) {
        return mVersion.isEmpty() || (!mUncertain && mVersion.get().equals(softwareVersion));
    }
}
