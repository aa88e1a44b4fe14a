package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;

import java.util.function.LongConsumer;

/**
 * Waits for signs of life of an upstream that may be replaced by another.
 *
 * <p>Invariant: at most one wait is under way; requests that may not run again are not watched.
 * Confined to one event loop.
 */
final class SilenceTimeout {
    private final RelayCall mCall;
    private final Route mRoute;
    private final LongConsumer mOnSilent;
    private Runnable mTimer = () -> {};

    /**
     * Makes a watch.
     *
     * @param call whose time it takes
     * @param route tells how long an upstream may be silent
     * @param onSilent takes the time in milliseconds at which it was silent for too long
     */
    SilenceTimeout(RelayCall call, Route route, LongConsumer onSilent) {
        mCall = call;
        mRoute = route;
        mOnSilent = onSilent;
    }

    /** Waits for the beginning of an answer. */
    void startForAnswer() {
        schedule(mRoute.objectiveMs() * RelayBounds.SILENCE_OBJECTIVE_FACTOR);
    }

    /** Waits for the next event of a stream that can be resumed. */
    void startForEvent() {
        if (mRoute.resumable() && mRoute.gapTargetMs() > 0) {
            schedule(mRoute.gapTargetMs() * RelayBounds.SILENCE_GAP_FACTOR);
        }
    }

    private void schedule(long ms) {
        stop();
        if (mRoute.mayRunAgain()) {
            mTimer = mCall.timer(ms, mOnSilent);
        }
    }

    /** Stops waiting. */
    void stop() {
        mTimer.run();
    }
}
