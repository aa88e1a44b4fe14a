package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;

import java.util.Optional;

/**
 * Checks whether an upstream that ended an answer without framing has crashed: the system closes
 * the connections of a process that crashes like those of one that is done.
 *
 * <p>Invariant: the listener is called once for each check that is not cancelled. Confined to one
 * event loop.
 */
final class UnframedAnswerCheck {
    /**
     * How long an upstream must still accept connections after the end of a stream, in
     * milliseconds: an exiting process may close its listener later than its connections.
     */
    private static final long STREAM_SETTLE_MS = 150;

    /** Receives the result of a check. */
    interface Listener {
        /** The upstream accepts connections: the answer is complete. */
        void onAnswerConfirmed(long nowMs);

        /**
         * The upstream accepts no connections: the answer may be incomplete.
         *
         * @param nowMs the present time in milliseconds
         * @param before the request's quarantine status before the check
         */
        void onAnswerDoubtful(long nowMs, QuarantineStatus before);
    }

    private final RelayContext mContext;
    private final RelayCall mCall;
    private final CrashHistory mCrashes;
    private final Listener mListener;
    private Optional<InFlightSend> mPending = Optional.empty();

    UnframedAnswerCheck(
            RelayContext context, RelayCall call, CrashHistory crashes, Listener listener) {
        mContext = context;
        mCall = call;
        mCrashes = crashes;
        mListener = listener;
    }

    /**
     * Starts the check of the upstream to which the request was sent.
     *
     * @param nowMs the present time in milliseconds
     * @param send the send that the upstream answered
     * @param stream whether the answer is a stream, which is useful without its end, so that the
     *     end may be delayed
     */
    void start(long nowMs, InFlightSend send, boolean stream) {
        mPending = Optional.of(send);
        QuarantineStatus before = mCrashes.status();
        mCrashes.onConnectionClosed(
                nowMs,
                send.instance(),
                stream ? STREAM_SETTLE_MS : 0,
                listening -> onProbed(send, before, listening));
    }

    private void onProbed(InFlightSend send, QuarantineStatus before, boolean listening) {
        if (mCall.ended() || !mPending.equals(Optional.of(send))) {
            return;
        }
        mPending = Optional.empty();
        long nowMs = mContext.clock().nowMs();
        if (listening) {
            mListener.onAnswerConfirmed(nowMs);
        } else {
            mListener.onAnswerDoubtful(nowMs, before);
        }
    }

    boolean isPending() {
        return mPending.isPresent();
    }

    void cancel() {
        mPending = Optional.empty();
    }
}
