package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.stream.FoundOrigin;
import org.hornbeampass.coordination.stream.StreamKey;
import org.hornbeampass.state.service.Route;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Finds the software version at which a stream must go on that a caller takes up.
 *
 * <p>Invariant: the version is never guessed. Confined to one event loop.
 */
final class StreamResumption {
    /** How many times a route's timeout a caller may wait for a stream, in all its attempts. */
    private static final long ATTEMPTS_TIMEOUTS = 2;

    private final RelayContext mContext;
    private final CallerHead mHead;
    private final Route mRoute;
    private final String mService;
    private final String mOrganisation;

    /**
     * Creates the resumption of one request.
     *
     * @param context what all requests of the VM share
     * @param head the caller's head
     * @param route the request's route
     * @param service the name of the service that was picked for the request
     * @param organisation the name of the organisation that pays; empty where none does
     */
    StreamResumption(
            RelayContext context,
            CallerHead head,
            Route route,
            String service,
            String organisation) {
        mContext = context;
        mHead = head;
        mRoute = route;
        mService = service;
        mOrganisation = organisation;
    }

    /** Returns whether the caller takes up a stream. */
    boolean isRequested() {
        return mRoute.kind().streams() && mHead.lastEventId().isPresent();
    }

    /**
     * Finds the software version that began the stream.
     *
     * @param nowMs the present time in milliseconds
     * @param done receives the time in milliseconds and the version, which is empty where it is not
     *     known; called once
     */
    void findVersion(long nowMs, BiConsumer<Long, Optional<String>> done) {
        StreamKey key = new StreamKey(mService, mOrganisation, mHead.resumes().orElse(""));
        mContext.origins().find(nowMs, key, (t, found) -> onFound(t, t - nowMs, found, done));
    }

    private void onFound(
            long nowMs, long tookMs, FoundOrigin found, BiConsumer<Long, Optional<String>> done) {
        FoundOrigin origin = found.orOnlyVersion(onlyVersion(nowMs));
        mContext.log()
                .logDecision(
                        nowMs,
                        mHead.id(),
                        "stream-taken-up",
                        new LogFields()
                                .add("resumes", mHead.resumes().orElse(""))
                                .add("software_version", origin.softwareVersion().orElse(""))
                                .add("source", origin.source().logName())
                                .add("asked_vms", origin.askedVms())
                                .add("replied_vms", origin.repliedVms())
                                .add("took_ms", tookMs));
        done.accept(nowMs, origin.softwareVersion());
    }

    private Optional<String> onlyVersion(long nowMs) {
        if (mContext.upstreamsMayBeStale(nowMs)) {
            return Optional.empty();
        }
        long periodMs = ATTEMPTS_TIMEOUTS * mRoute.timeoutMs();
        return mContext.upstreamRegistry().versions().onlyVersion(nowMs, mService, periodMs);
    }
}
