package org.hornbeampass.router.relay;

import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.relay.UpstreamConnection;

import java.util.Optional;

/**
 * Decides when a request leaves an upstream that is silent: once the answer of another one has
 * shown that it takes its place.
 *
 * <p>A sound upstream may be silent for a second and go on, so its silence alone ends nothing; of
 * the two, the one whose answer goes on first is followed. Invariants: no other upstream is sought
 * before the silence has lasted as long as the route tolerates, and none once the upstream goes on;
 * the request is sent to one other upstream at a time: one that is silent, too, is left for a
 * third. Confined to one event loop.
 */
final class SilentUpstream implements UpstreamSearch.Listener, ReplacementSend.Listener {
    /** The request and the upstream that works on it. */
    interface Owner {
        /** Returns whether the request may go on at another upstream. */
        boolean mayBeReplaced();

        /**
         * Records that the upstream is silent; called once for each send and silence.
         *
         * @param nowMs the present time in milliseconds
         * @param lateMs how long after the silence had lasted as long as the route tolerates it was
         *     noticed, in milliseconds
         */
        void onSilent(long nowMs, long lateMs);

        /**
         * Records that an upstream goes on that was reported as silent.
         *
         * @param nowMs the present time in milliseconds
         * @param afterMs how long ago it was reported, in milliseconds
         */
        void onHeardAgain(long nowMs, long afterMs);

        /** Leaves the silent upstream for another one, whose answer takes its place. */
        void onReplacement(long nowMs, ReplacementSend replacement);

        /** Records why the silent upstream is not left; called when the reason has changed. */
        void onKept(long nowMs, String reason);
    }

    private final UpstreamSearch mSearch;
    private final RequestSender mSender;
    private final Owner mOwner;
    private final SilenceTimeout mTimeout;
    private Optional<ReplacementSend> mReplacement = Optional.empty();
    private boolean mSilent;
    private long mReportedMs;
    private String mKeptFor = "";

    SilentUpstream(
            Clock clock,
            RelayCall call,
            RelayPlan plan,
            UpstreamSearch search,
            RequestSender sender,
            Owner owner) {
        mSearch = search;
        mSender = sender;
        mOwner = owner;
        mTimeout = new SilenceTimeout(clock, call, plan.route(), this::onTimeout);
    }

    /** Waits for the beginning of an answer. */
    void awaitAnswer() {
        stop();
        mTimeout.startForAnswer();
    }

    /**
     * Waits for the next event of a stream whose head has arrived. The head alone does not end the
     * send to another upstream, which may bring an event first.
     */
    void onStreamHead(long nowMs) {
        if (mReplacement.isEmpty()) {
            onAnswer(nowMs);
            mTimeout.startForEvent();
        }
    }

    /**
     * Waits for the end of an answer that is buffered until it is whole. Its head alone does not
     * end the send to another upstream, since it may still be lost.
     */
    void onBufferedHead(long nowMs) {
        if (mReplacement.isEmpty()) {
            onAnswer(nowMs);
        }
    }

    /** Waits for what shows whether an answer without framing is complete. */
    void onUnconfirmedEnd() {
        if (mReplacement.isEmpty()) {
            stop();
        }
    }

    /** Ends the send to another upstream, if there is one, and keeps the silent upstream. */
    void cancelReplacement(long nowMs, String reason) {
        takeReplacement()
                .ifPresent(
                        r -> {
                            r.cancel();
                            keep(nowMs, reason);
                        });
    }

    /**
     * Waits for the next event if events have ended since the last call; other bytes don't count.
     *
     * @param nowMs the present time in milliseconds
     * @param eventCount how many whole events were forwarded so far
     */
    void onEvents(long nowMs, long eventCount) {
        if (mTimeout.onEvents(eventCount)) {
            onHeard(nowMs);
        }
    }

    /** Waits for nothing: the upstream has answered. */
    void onAnswer(long nowMs) {
        mTimeout.stop();
        onHeard(nowMs);
    }

    private void onHeard(long nowMs) {
        if (mSilent) {
            mOwner.onHeardAgain(nowMs, nowMs - mReportedMs);
        }
        endSilence();
    }

    /** Returns whether it was reported as silent and has not gone on since. */
    boolean isSilent() {
        return mSilent;
    }

    /**
     * Seeks another upstream, since this one has started again and may not work on the request any
     * more: at once, or after the usual time where its answer has begun.
     *
     * @param nowMs the present time in milliseconds
     * @param begun whether the answer has begun
     */
    void onRestarted(long nowMs, boolean begun) {
        if (mSilent || !mOwner.mayBeReplaced()) {
            return;
        }
        if (begun) {
            awaitAnswer();
            return;
        }
        mTimeout.stop();
        mSilent = true;
        mReportedMs = nowMs;
        mSearch.startReplacement(nowMs, this);
    }

    /** Waits for nothing: no upstream works on the request. */
    void stop() {
        mTimeout.stop();
        endSilence();
    }

    private void endSilence() {
        if (mSilent) {
            mSilent = false;
            mKeptFor = "";
            mSearch.cancelConnecting();
            mReplacement.ifPresent(ReplacementSend::cancel);
            mReplacement = Optional.empty();
        }
    }

    /** Returns whether another upstream works on the request, too. */
    boolean hasReplacement() {
        return mReplacement.isPresent();
    }

    /** Returns the send to another upstream, which the caller of this method takes over. */
    Optional<ReplacementSend> takeReplacement() {
        Optional<ReplacementSend> taken = mReplacement;
        mReplacement = Optional.empty();
        return taken;
    }

    /** Handles the restart of an upstream if it is the one that is to replace the silent one. */
    void onInstanceEnded(long nowMs, InFlightSend send) {
        mReplacement
                .filter(r -> r.send().equals(send))
                .ifPresent(r -> r.onRestarted(nowMs, mSearch.mayGoOnWith(send)));
    }

    private void onTimeout(long nowMs, long lateMs) {
        mReplacement.ifPresent(r -> r.onSilent(nowMs));
        if (!mOwner.mayBeReplaced()) {
            return;
        }
        if (!mSilent) {
            mSilent = true;
            mReportedMs = nowMs;
            mOwner.onSilent(nowMs, lateMs);
        }
        mSearch.startReplacement(nowMs, this);
    }

    private void keep(long nowMs, String reason) {
        if (!reason.equals(mKeptFor)) {
            mKeptFor = reason;
            mOwner.onKept(nowMs, reason);
        }
        mTimeout.startAgain();
    }

    @Override
    public void onFound(long nowMs, InFlightSend send, UpstreamConnection connection) {
        if (!mOwner.mayBeReplaced()) {
            connection.cancel();
            send.release();
            return;
        }
        mReplacement.ifPresent(ReplacementSend::cancel);
        mReplacement = Optional.of(mSender.startReplacement(nowMs, send, connection, this));
        mTimeout.startForAnswer();
    }

    @Override
    public void onUsable(long nowMs) {
        mOwner.onReplacement(nowMs, takeReplacement().orElseThrow());
    }

    @Override
    public void onUnusable(long nowMs, String reason) {
        mReplacement = Optional.empty();
        keep(nowMs, reason);
    }

    @Override
    public void onNoneAvailable(long nowMs) {
        keep(nowMs, "no other upstream accepts the request at present");
    }

    @Override
    public void onDeadline(long nowMs) {
        keep(nowMs, "the deadline has passed");
    }

    @Override
    public void refuse(long nowMs, Failure failure) {
        keep(nowMs, failure.message());
    }

    @Override
    public void onQuarantined(long nowMs) {
        keep(nowMs, "upstreams may have crashed while they ran the request");
    }

    @Override
    public void onGivenUp(long nowMs, String why) {
        keep(nowMs, why);
    }
}
