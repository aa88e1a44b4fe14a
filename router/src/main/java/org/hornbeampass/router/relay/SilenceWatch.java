package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;

import java.util.function.LongConsumer;

/**
 * Waits for signs of life of an upstream that may be replaced by another.
 *
 * <p>Invariant: at most one wait is under way; requests that may not run again are not watched.
 * Confined to one event loop.
 */
final class SilenceWatch {
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
    SilenceWatch(RelayCall call, Route route, LongConsumer onSilent) {
        mCall = call;
        mRoute = route;
        mOnSilent = onSilent;
    }

    /** Waits for the beginning of an answer. */
    void awaitAnswer() {
        await(mRoute.objectiveMs() * RelayBounds.SILENCE_OBJECTIVES);
    }

    /** Waits for the next event of a stream that can be resumed. */
    void awaitEvent() {
        if (mRoute.resumable() && mRoute.gapTargetMs() > 0) {
            await(mRoute.gapTargetMs() * RelayBounds.SILENCE_GAPS);
        }
    }

    private void await(long ms) {
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
