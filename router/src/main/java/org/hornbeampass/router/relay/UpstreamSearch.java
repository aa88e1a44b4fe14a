package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.ratelimit.SendPermit;
import org.hornbeampass.coordination.service.UpstreamChoice;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.stream.StreamOrigin;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.relay.UpstreamConnection;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the upstream for each send of one request: chooses it, acquires a permit where it has a
 * rate limit, and opens a connection.
 *
 * <p>Invariants: the request is sent to no upstream twice, except to one that stated that it was
 * full, where all others were tried and admission is on; each send after the first, and nothing
 * else, uses up the fleet's retry limit; each send uses up a permit of its upstream; a search for a
 * replacement leaves the request's place and its counts unchanged; nothing is sent after the
 * request's deadline, to a failure domain that is evacuated, outside the request's home regions, or
 * to another software version than the one that began the stream, all of which is checked last, on
 * an open connection. Confined to one event loop.
 */
final class UpstreamSearch {
    /** How often it is checked whether the first record of a service is there, in milliseconds. */
    private static final long RECORD_POLL_MS = 20;

    private static final String TOO_MANY_RETRIES = "too many requests are being retried at present";
    private static final String SHUTTING_DOWN =
            "the router shuts down before another answer can be complete";

    /** Receives the result of a search. */
    interface Listener {
        /** Receives an open connection, on which the request may be sent now. */
        void onFound(long nowMs, InFlightSend use, UpstreamConnection connection);

        /**
         * Reports that all upstreams are gone, have been tried or accept no requests at present.
         */
        void onNoneAvailable(long nowMs);

        /** Reports that the deadline has passed. */
        void onDeadline(long nowMs);

        /** Reports that the request got no room at its service. */
        void refuse(long nowMs, Failure failure);

        /** Reports that the request is quarantined and may not be sent. */
        void onQuarantined(long nowMs);

        /** Reports that the search was given up, with the reason. */
        void onGivenUp(long nowMs, String why);
    }

    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final CrashHistory mCrashes;
    private final SendCounts mCounts;
    private final Listener mListener;
    private final InFlightSend.EndListener mOnInstanceEnd;
    private final StreamVersion mVersion;
    private final SendConditions mConditions;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mFull = new HashSet<>();

    /** Those that the present search for a replacement could not reach, as part of the tried. */
    private final Set<String> mUnreachable = new HashSet<>();

    private final RoomPlace mPlace;
    private Listener mCurrentListener;
    private int mNumber;
    private Optional<InFlightSend> mConnecting = Optional.empty();

    /**
     * Creates a search.
     *
     * @param context what all requests of the VM share
     * @param call the request
     * @param plan what is to be sent
     * @param crashes decides whether the request may be sent
     * @param counts counts unreachable upstreams and denied permits
     * @param listener receives the result of each search
     * @param onInstanceEnd is notified when the incarnation of an upstream that was found ends
     */
    UpstreamSearch(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            CrashHistory crashes,
            SendCounts counts,
            Listener listener,
            InFlightSend.EndListener onInstanceEnd) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mCrashes = crashes;
        mCounts = counts;
        mListener = listener;
        mCurrentListener = listener;
        mOnInstanceEnd = onInstanceEnd;
        mVersion = new StreamVersion(plan.softwareVersion(), this::onStreamBegun);
        mPlace = new RoomPlace(context, call, plan, crashes, this::onNoRoom);
        mConditions =
                new SendConditions(
                        context.upstreamRegistry(), plan.homes(), mVersion, plan.deadlineMs());
    }

    /** Starts a search for an upstream to which the request was not sent yet. */
    void start(long nowMs) {
        cancelConnecting();
        forgetUnreachable();
        mCurrentListener = mListener;
        searchAgain(nowMs);
    }

    /** Lets upstreams be chosen again that were unreachable while another one worked. */
    private void forgetUnreachable() {
        mTried.removeAll(mUnreachable);
        mUnreachable.clear();
    }

    /**
     * Starts a search for an upstream that can take the request over at once from the one that
     * works on it, which may go on until then.
     *
     * @param nowMs the present time in milliseconds
     * @param listener receives the result, once, unless the search is cancelled
     */
    void startReplacement(long nowMs, Listener listener) {
        cancelConnecting();
        forgetUnreachable();
        mCurrentListener = listener;
        searchAgain(nowMs);
    }

    private boolean isReplacement() {
        return mCurrentListener != mListener;
    }

    private void searchAgain(long nowMs) {
        mPlace.acquire(nowMs, this::search);
    }

    private void onNoRoom(Failure failure) {
        refuse(mContext.clock().nowMs(), failure, "the service has no room for a retry at present");
    }

    private void refuse(long nowMs, Failure failure, String whyNoRetry) {
        if (mCounts.mayHaveRun()) {
            mCurrentListener.onGivenUp(nowMs, whyNoRetry);
        } else {
            mCurrentListener.refuse(nowMs, failure);
        }
    }

    /** Returns whether an answer to a request that is sent now can be complete. */
    private boolean canAnswer(long nowMs) {
        ShutdownPolicy shutdown = mContext.shutdown();
        if (!mCounts.mayHaveRun()) {
            return shutdown.mayStart(nowMs, mPlan.route(), mPlan.deadlineMs());
        }
        long doneMs = mVersion.get().isPresent() ? mCounts.workedMs(nowMs) : 0;
        return shutdown.mayGoOn(nowMs, mPlan.route(), doneMs, mPlan.deadlineMs());
    }

    private Optional<String> obstacle(long nowMs, UpstreamInstance instance) {
        return mConditions
                .obstacle(nowMs, instance)
                .or(() -> canAnswer(nowMs) ? Optional.empty() : Optional.of(SHUTTING_DOWN));
    }

    /** Handles the answer of an upstream that it had no capacity for the request. */
    void onFull(long nowMs, UpstreamInstance instance) {
        instance.onRejected(nowMs, mContext.upstreamRegistry().fleetLoad().knownVms());
        mFull.add(instance.id());
    }

    /** Frees the place of a request that no upstream works on, since one was full. */
    void freePlaceOfFull(long nowMs) {
        mPlace.onUpstreamFull(nowMs);
    }

    /** Returns the failure of a request that no upstream could accept. */
    Failure refusal(long nowMs, String why) {
        return mPlace.refusal(nowMs, why);
    }

    private void search(long nowMs) {
        if (mConditions.isOverdue(nowMs)) {
            mCurrentListener.onDeadline(nowMs);
            return;
        }
        if (!canAnswer(nowMs)) {
            refuse(nowMs, Refusals.shuttingDown(), SHUTTING_DOWN);
            return;
        }
        if (!mayBeSent(nowMs)) {
            mCurrentListener.onQuarantined(nowMs);
            return;
        }
        Optional<UpstreamChoice> chosen = choose(nowMs);
        if (chosen.isEmpty() && mayTryFullOnes() && mTried.removeAll(mFull)) {
            mFull.clear();
            chosen = choose(nowMs);
        }
        if (chosen.isEmpty() && awaitsStreamRecord(nowMs)) {
            searchWhenRecorded();
            return;
        }
        if (chosen.isEmpty() || (isReplacement() && chosen.get().instance().isPaused(nowMs))) {
            mCurrentListener.onNoneAvailable(nowMs);
            return;
        }
        if (!isRetryAvailable(nowMs)) {
            mCurrentListener.onGivenUp(nowMs, TOO_MANY_RETRIES);
            return;
        }
        UpstreamChoice choice = chosen.get();
        int number = mNumber;
        mContext.permits()
                .acquire(
                        nowMs,
                        choice.instance().incarnation(),
                        (t, permit) -> onPermit(t, number, choice, permit));
    }

    private boolean mayTryFullOnes() {
        return !isReplacement() && mContext.roomAdmission().isPresent();
    }

    private boolean mayBeSent(long nowMs) {
        return isReplacement() ? mCrashes.mayBeRepeated() : mCrashes.mayBeSent(nowMs);
    }

    private boolean tryBeginSend(long nowMs) {
        return isReplacement() ? mCrashes.mayBeRepeated() : mCrashes.tryBeginSend(nowMs);
    }

    private Optional<UpstreamChoice> choose(long nowMs) {
        if (!beginsResumableStream()) {
            return choose(nowMs, mVersion::allows);
        }
        String service = mPlan.service().name();
        Optional<UpstreamChoice> recorded =
                choose(nowMs, v -> mContext.streamHistory().mayBegin(nowMs, service, v));
        return recorded.isPresent() || mContext.streamHistory().awaitsFirstRecord(nowMs, service)
                ? recorded
                : choose(nowMs, mVersion::allows);
    }

    /** Returns whether an upstream is there that gets streams once their versions are recorded. */
    private boolean awaitsStreamRecord(long nowMs) {
        return beginsResumableStream()
                && mContext.streamHistory().awaitsFirstRecord(nowMs, mPlan.service().name())
                && choose(nowMs, mVersion::allows).isPresent();
    }

    private void searchWhenRecorded() {
        int number = mNumber;
        var unused =
                mCall.timer(
                        RECORD_POLL_MS,
                        nowMs -> {
                            if (number == mNumber) {
                                search(nowMs);
                            }
                        });
    }

    private boolean beginsResumableStream() {
        return mPlan.route().resumable() && mVersion.get().isEmpty();
    }

    private Optional<UpstreamChoice> choose(long nowMs, Predicate<String> versions) {
        return mContext.upstreamRegistry()
                .choose(
                        nowMs,
                        mPlan.service(),
                        mPlan.head().prompt(),
                        mPlan.homes(),
                        versions,
                        mTried);
    }

    /**
     * Records that events of a send were forwarded to the caller: the stream goes on at the same
     * software version only.
     */
    void onEvents(InFlightSend send) {
        mVersion.onEvents(send);
    }

    /** Returns whether events that a send brings from now on belong to the stream. */
    boolean mayGoOnWith(InFlightSend send) {
        return mVersion.allowsEventsOf(send);
    }

    /**
     * Records that the upstream that has brought events has started again. At another software
     * version it may have brought them after that: the stream goes on nowhere else, nor does one by
     * which the caller resumes it.
     */
    void onRestarted(InFlightSend send) {
        if (send.hasChangedVersion()) {
            mVersion.markUncertain();
            recordOrigin(StreamOrigin.uncertain(mPlan.service().name()));
        }
    }

    /** Returns whether it is uncertain at which software version the stream began. */
    boolean isVersionUncertain() {
        return mVersion.isUncertain();
    }

    private void onStreamBegun(String softwareVersion) {
        String service = mPlan.service().name();
        recordOrigin(
                mVersion.isUncertain()
                        ? StreamOrigin.uncertain(service)
                        : new StreamOrigin(service, softwareVersion));
    }

    private void recordOrigin(StreamOrigin origin) {
        if (mPlan.route().resumable()) {
            long nowMs = mContext.clock().nowMs();
            mContext.origins().onBegun(nowMs, mPlan.streamKey(), origin);
            mContext.streamHistory().onBegun(nowMs, mPlan.streamKey(), origin);
        }
    }

    /**
     * Returns whether there is an upstream to which the request was not sent yet, and the fleet's
     * limit allows a retry.
     */
    boolean mayFindAnother(long nowMs) {
        return isRetryAvailable(nowMs) && choose(nowMs).isPresent();
    }

    private void onPermit(
            long nowMs, int number, UpstreamChoice choice, Optional<SendPermit> permit) {
        if (number != mNumber) {
            permit.ifPresent(p -> mContext.permits().returnUnused(nowMs, p));
            return;
        }
        if (mCall.ended()) {
            permit.ifPresent(p -> mContext.permits().returnUnused(nowMs, p));
            mPlace.release(nowMs);
            return;
        }
        if (permit.isEmpty()) {
            logDecision(
                    nowMs,
                    "permit-denied",
                    new LogFields().add("upstream", choice.instance().id()));
            onPermitDenied(nowMs);
            return;
        }
        connect(nowMs, choice, permit.get());
    }

    private void onPermitDenied(long nowMs) {
        if (isReplacement()) {
            mCurrentListener.onNoneAvailable(nowMs);
            return;
        }
        if (mCounts.onPermitDenied()) {
            mTried.addAll(mContext.upstreamRegistry().rateLimited(nowMs));
        }
        searchAgain(nowMs);
    }

    private void connect(long nowMs, UpstreamChoice choice, SendPermit permit) {
        UpstreamInstance instance = choice.instance();
        mTried.add(instance.id());
        InFlightSend send = new InFlightSend(choice, mOnInstanceEnd);
        mConnecting = Optional.of(send);
        long remainingMs = mPlan.deadlineMs() - nowMs;
        long maxIdleMs =
                mPlan.route().mayRunAgain()
                        ? Long.MAX_VALUE
                        : RelayBounds.MAX_IDLE_NOT_REPEATABLE_MS;
        mContext.pool()
                .connect(
                        nowMs,
                        instance.entry().address(),
                        maxIdleMs,
                        (int) Math.max(1, Math.min(RelayBounds.CONNECT_TIMEOUT_MS, remainingMs)),
                        connection -> onConnected(send, permit, connection));
    }

    private void onConnected(
            InFlightSend send, SendPermit permit, Optional<UpstreamConnection> connection) {
        long nowMs = mContext.clock().nowMs();
        UpstreamInstance instance = send.instance();
        mCall.caller().detectDisconnect(nowMs);
        boolean current = mConnecting.equals(Optional.of(send)) && !mCall.ended();
        if (!current) {
            mContext.permits().returnUnused(nowMs, permit);
            connection.ifPresent(UpstreamConnection::cancel);
            return;
        }
        if (connection.isEmpty()) {
            mContext.permits().returnUnused(nowMs, permit);
            instance.onNoAnswer(nowMs);
            releaseConnecting();
            logDecision(nowMs, "unreachable", send.fields());
            if (areTooManyUnreachable(instance)) {
                mCurrentListener.onGivenUp(nowMs, "the upstreams are unreachable");
            } else {
                searchAgain(nowMs);
            }
            return;
        }
        Optional<String> obstacle = obstacle(nowMs, instance);
        if (obstacle.isPresent()) {
            logDecision(nowMs, "not-sent", send.fields().add("reason", obstacle.get()));
            mContext.permits().returnUnused(nowMs, permit);
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (!isRetryAvailable(nowMs)) {
            mContext.permits().returnUnused(nowMs, permit);
            connection.get().cancel();
            cancelConnecting();
            mCurrentListener.onGivenUp(nowMs, TOO_MANY_RETRIES);
            return;
        }
        if (!mContext.permits().redeem(nowMs, permit)) {
            mTried.remove(instance.id());
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (!tryBeginSend(nowMs)) {
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (mCounts.sentBefore()) {
            var unused = mContext.tryTakeRetry(nowMs, mPlan.service().name());
        }
        mConnecting = Optional.empty();
        mCurrentListener.onFound(nowMs, send, connection.get());
    }

    private boolean isRetryAvailable(long nowMs) {
        return !mCounts.sentBefore() || mContext.isRetryAvailable(nowMs, mPlan.service().name());
    }

    private boolean areTooManyUnreachable(UpstreamInstance instance) {
        if (!isReplacement()) {
            return mCounts.onUnreachable();
        }
        mUnreachable.add(instance.id());
        return mUnreachable.size() >= RelayBounds.MAX_UNREACHABLE_UPSTREAMS;
    }

    private void closeAndSearchAgain(long nowMs, UpstreamConnection unused) {
        unused.cancel();
        releaseConnecting();
        searchAgain(nowMs);
    }

    /**
     * Ends the search, and keeps the place at the service: a connection that is still being opened
     * is closed once it is open, and its upstream may be chosen again.
     */
    void cancelConnecting() {
        mNumber++;
        mConnecting.ifPresent(s -> mTried.remove(s.instance().id()));
        releaseConnecting();
    }

    /** Ends the search or the send that it led to, and frees the place at the service. */
    void cancel() {
        cancelConnecting();
        mPlace.release(mContext.clock().nowMs());
    }

    private void releaseConnecting() {
        mConnecting.ifPresent(InFlightSend::release);
        mConnecting = Optional.empty();
    }

    private void logDecision(long nowMs, String decision, LogFields fields) {
        mContext.log().logDecision(nowMs, mPlan.head().id(), decision, fields);
    }
}
