package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.AnswerTimes;
import org.hornbeampass.state.service.Route;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides during a graceful shutdown which requests may be sent: those whose answers can be
 * complete before the process exits.
 *
 * <p>Everything may be sent before the shutdown begins. Confined to one event loop.
 */
public final class ShutdownPolicy {
    /** A request that may run once must end: if it is cut, its caller can't repeat it. */
    private static final double ONCE_QUANTILE = 0.95;

    /** A request that may run again is sent if it is more likely to end than to be cut. */
    private static final double REPEATABLE_QUANTILE = 0.5;

    private final AnswerTimes mAnswerTimes = new AnswerTimes();
    private Optional<ShutdownSchedule> mSchedule = Optional.empty();

    /** Follows the schedule of a shutdown from now on. */
    public void begin(ShutdownSchedule schedule) {
        mSchedule = Optional.of(schedule);
    }

    /** Returns how long the answers of each route take. */
    AnswerTimes answerTimes() {
        return mAnswerTimes;
    }

    private OptionalLong expectedMs(Route route) {
        double quantile = route.mayRunAgain() ? REPEATABLE_QUANTILE : ONCE_QUANTILE;
        return mAnswerTimes.expectedMs(route.name(), quantile);
    }

    /** Returns whether requests that arrive now are accepted. */
    boolean acceptsNewRequests(long nowMs) {
        return mSchedule.map(s -> s.accepts(nowMs)).orElse(true);
    }

    /**
     * Returns whether a request may be sent that no upstream has worked on. Where it is not known
     * how long the answers of its route take, that is until no new requests are accepted.
     *
     * @param nowMs the present time in milliseconds
     * @param route the request's route
     * @param deadlineMs the time by which the request is answered in any case, in milliseconds
     */
    boolean mayStart(long nowMs, Route route, long deadlineMs) {
        return mSchedule.isEmpty()
                || mSchedule.get().canAnswer(nowMs, expectedMs(route), deadlineMs);
    }

    /**
     * Returns whether a request may be sent again that an upstream has worked on. Its caller can
     * only lose by not sending it, so that the route's objective is taken for what an answer takes
     * where that is not known.
     *
     * @param nowMs the present time in milliseconds
     * @param route the request's route
     * @param doneMs how long upstreams have worked on a stream that goes on, in milliseconds; 0 for
     *     a request that begins anew
     * @param deadlineMs the time by which the request is answered in any case, in milliseconds
     */
    boolean mayGoOn(long nowMs, Route route, long doneMs, long deadlineMs) {
        if (mSchedule.isEmpty()) {
            return true;
        }
        long takesMs = expectedMs(route).orElse(route.objectiveMs());
        OptionalLong leftMs = OptionalLong.of(Math.max(0, takesMs - doneMs));
        return mSchedule.get().canAnswer(nowMs, leftMs, deadlineMs);
    }
}
