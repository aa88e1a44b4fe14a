package org.hornbeampass.router.relay;

import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.ReceiveTimeout;

import java.util.Optional;

/**
 * Reports an upstream that sends no answer or no whole event for so long that another one is to be
 * sought.
 *
 * <p>Invariant: at most one timer is running; requests that may not run again are not timed.
 * Confined to one event loop.
 */
final class SilenceTimeout {
    /** Receives that the upstream was silent for too long. */
    @FunctionalInterface
    interface Listener {
        /**
         * Called when the timeout has expired; it must be started anew by the receiver.
         *
         * @param nowMs the present time in milliseconds
         * @param lateMs how long after its expiry the timeout ran, in milliseconds
         */
        void onSilent(long nowMs, long lateMs);
    }

    private final Clock mClock;
    private final RelayCall mCall;
    private final Route mRoute;
    private final Listener mListener;
    private Optional<ReceiveTimeout> mTimeout = Optional.empty();
    private long mEventCount;

    /**
     * Creates a timeout that is not running.
     *
     * @param clock tells when a timer was due
     * @param call the request, on whose event loop the timer runs
     * @param route states how long an upstream may be silent
     * @param listener is notified when the upstream was silent for too long
     */
    SilenceTimeout(Clock clock, RelayCall call, Route route, Listener listener) {
        mClock = clock;
        mCall = call;
        mRoute = route;
        mListener = listener;
    }

    /** Starts the timeout for the beginning of an answer. */
    void startForAnswer() {
        schedule(mRoute.objectiveMs() * RelayBounds.SILENCE_OBJECTIVE_FACTOR);
    }

    /** Starts the timeout for the next event of a stream that can be resumed. */
    void startForEvent() {
        stop();
        if (mRoute.resumable() && mRoute.gapTargetMs() > 0) {
            schedule(mRoute.gapTargetMs() * RelayBounds.SILENCE_GAP_FACTOR);
        }
    }

    /**
     * Starts the timeout anew if events have ended since the last call; other bytes don't count.
     *
     * @param eventCount how many whole events were forwarded so far
     * @return whether events have ended since the last call
     */
    boolean onEvents(long eventCount) {
        if (eventCount == mEventCount) {
            return false;
        }
        mEventCount = eventCount;
        startForEvent();
        return true;
    }

    /** Starts the timeout anew for an upstream that was silent for too long and is kept. */
    void startAgain() {
        schedule(RelayBounds.LOOK_AGAIN_MS);
    }

    private void schedule(long ms) {
        stop();
        if (mRoute.mayRunAgain()) {
            mTimeout =
                    Optional.of(
                            ReceiveTimeout.start(
                                    mCall::timer,
                                    mClock.nowMs(),
                                    ms,
                                    nowMs -> onTimeout(nowMs, ms)));
        }
    }

    /** Waits again while the answer is not read because the caller reads too slowly. */
    private void onTimeout(long nowMs, long ms) {
        if (mCall.caller().isWritable()) {
            long lateMs = mTimeout.orElseThrow().lateMs(nowMs);
            mTimeout = Optional.empty();
            mListener.onSilent(nowMs, lateMs);
        } else {
            schedule(ms);
        }
    }

    /** Stops the timeout. */
    void stop() {
        mTimeout.ifPresent(ReceiveTimeout::cancel);
        mTimeout = Optional.empty();
    }
}
