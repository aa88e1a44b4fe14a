package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.stream.FoundOrigin;
import org.hornbeampass.coordination.stream.StoredOrigin;
import org.hornbeampass.coordination.stream.StreamKey;
import org.hornbeampass.coordination.stream.StreamOrigin;
import org.hornbeampass.state.service.Route;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Finds the service and the software version at which a stream must go on that a caller takes up.
 *
 * <p>Invariants: the origin is never guessed; it is a service of the route. Confined to one event
 * loop.
 */
final class StreamResumption {
    private final RelayContext mContext;
    private final CallerHead mHead;
    private final Route mRoute;
    private final String mOrganisation;

    /**
     * Creates the resumption of one request.
     *
     * @param context what all requests of the VM share
     * @param head the caller's head
     * @param route the request's route
     * @param organisation the name of the organisation that pays; empty where none does
     */
    StreamResumption(RelayContext context, CallerHead head, Route route, String organisation) {
        mContext = context;
        mHead = head;
        mRoute = route;
        mOrganisation = organisation;
    }

    /** Returns whether the caller takes up a stream. */
    boolean isRequested() {
        return mRoute.kind().streams() && mHead.lastEventId().isPresent();
    }

    /**
     * Finds where the stream began.
     *
     * @param nowMs the present time in milliseconds
     * @param done receives the time in milliseconds and the origin, which is empty where it is not
     *     known or the route no longer leads there; called once
     */
    void findOrigin(long nowMs, BiConsumer<Long, Optional<StreamOrigin>> done) {
        StreamKey key = new StreamKey(mOrganisation, mHead.resumes().orElse(""));
        mContext.origins().find(nowMs, key, (t, found) -> onFound(t, nowMs, key, found, done));
    }

    private void onFound(
            long nowMs,
            long startedMs,
            StreamKey key,
            FoundOrigin found,
            BiConsumer<Long, Optional<StreamOrigin>> done) {
        if (found.origin().isPresent()) {
            report(nowMs, startedMs, found, StoredOrigin.Reason.NONE, done);
            return;
        }
        List<String> services = mRoute.targets().stream().map(Route.Target::service).toList();
        mContext.streamHistory()
                .find(
                        nowMs,
                        key,
                        services,
                        (t, stored) ->
                                report(
                                        t,
                                        startedMs,
                                        found.orStored(stored),
                                        stored.reason(),
                                        done));
    }

    private void report(
            long nowMs,
            long startedMs,
            FoundOrigin result,
            StoredOrigin.Reason reason,
            BiConsumer<Long, Optional<StreamOrigin>> done) {
        Optional<StreamOrigin> origin =
                result.origin().filter(o -> o.hasCertainVersion() && leadsTo(o.service()));
        mContext.log()
                .logDecision(
                        nowMs,
                        mHead.id(),
                        "stream-taken-up",
                        new LogFields()
                                .add("resumes", mHead.resumes().orElse(""))
                                .add("service", result.origin().map(o -> o.service()).orElse(""))
                                .add(
                                        "software_version",
                                        origin.map(o -> o.softwareVersion()).orElse(""))
                                .add("source", result.source().logName())
                                .add("reason", reason.logName())
                                .add("asked_vms", result.askedVms())
                                .add("replied_vms", result.repliedVms())
                                .add("took_ms", nowMs - startedMs));
        done.accept(nowMs, origin);
    }

    private boolean leadsTo(String service) {
        return mRoute.targets().stream().anyMatch(t -> t.service().equals(service));
    }
}
