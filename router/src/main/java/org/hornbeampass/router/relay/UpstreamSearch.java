package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.ratelimit.SendPermit;
import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.UpstreamChoice;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.stream.StreamOrigin;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.relay.UpstreamConnection;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the upstream for each send of one request: chooses it, acquires a permit where it has a
 * rate limit, and opens a connection.
 *
 * <p>Invariants: the request is sent to no upstream twice, except to one that stated that it was
 * full, where all others were tried and admission is on; each send after the first uses up the
 * fleet's retry limit; each send uses up a permit of its upstream; nothing is sent after the
 * request's deadline, to a failure domain that is evacuated, outside the request's home regions, or
 * to another software version than the one that began the stream, all of which is checked last, on
 * an open connection. Confined to one event loop.
 */
final class UpstreamSearch {
    /** Receives the result of a search. */
    interface Listener {
        /** Receives an open connection, on which the request may be sent now. */
        void onFound(long nowMs, InFlightSend use, UpstreamConnection connection);

        /**
         * Reports that all upstreams are gone, have been tried or accept no requests at present.
         */
        void onNoneAvailable(long nowMs);

        /** Reports that the deadline has passed. */
        void onTooLate(long nowMs);

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
    private final IncarnationListener mOnInstanceEnd;
    private final StreamVersion mVersion;
    private final SendConditions mConditions;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mFull = new HashSet<>();
    private final RoomPlace mPlace;
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
            IncarnationListener onInstanceEnd) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mCrashes = crashes;
        mCounts = counts;
        mListener = listener;
        mOnInstanceEnd = onInstanceEnd;
        mVersion = new StreamVersion(plan.softwareVersion(), this::onStreamBegun);
        mPlace = new RoomPlace(context, call, plan, crashes, this::onNoRoom);
        mConditions =
                new SendConditions(
                        context.upstreamRegistry(), plan.homes(), mVersion, plan.deadlineMs());
    }

    /** Starts a search for an upstream to which the request was not sent yet. */
    void start(long nowMs) {
        mPlace.acquire(nowMs, this::search);
    }

    private void onNoRoom(Failure failure) {
        long nowMs = mContext.clock().nowMs();
        if (mCounts.mayHaveRun()) {
            mListener.onGivenUp(nowMs, "the service has no room for a retry at present");
        } else {
            mListener.refuse(nowMs, failure);
        }
    }

    /** Handles the answer of an upstream that it had no capacity for the request. */
    void onFull(long nowMs, UpstreamInstance instance) {
        instance.onRejected(nowMs, mContext.upstreamRegistry().fleetLoad().knownVms());
        mFull.add(instance.id());
        mPlace.onUpstreamFull(nowMs);
    }

    /** Returns the failure of a request that no upstream could accept. */
    Failure refusal(long nowMs, String why) {
        return mPlace.refusal(nowMs, why);
    }

    private void search(long nowMs) {
        if (mConditions.isOverdue(nowMs)) {
            mPlace.release(nowMs);
            mListener.onTooLate(nowMs);
            return;
        }
        if (!mCrashes.mayBeSent(nowMs)) {
            mPlace.release(nowMs);
            mListener.onQuarantined(nowMs);
            return;
        }
        Optional<UpstreamChoice> chosen = choose(nowMs);
        if (chosen.isEmpty() && mContext.roomAdmission().isPresent() && mTried.removeAll(mFull)) {
            mFull.clear();
            chosen = choose(nowMs);
        }
        if (chosen.isEmpty()) {
            mPlace.release(nowMs);
            mListener.onNoneAvailable(nowMs);
            return;
        }
        UpstreamChoice choice = chosen.get();
        mContext.permits()
                .acquire(
                        nowMs,
                        choice.instance().incarnation(),
                        (t, permit) -> onPermit(t, choice, permit));
    }

    private Optional<UpstreamChoice> choose(long nowMs) {
        return mContext.upstreamRegistry()
                .choose(
                        nowMs,
                        mPlan.service(),
                        mPlan.head().prompt(),
                        mPlan.homes(),
                        mVersion.get(),
                        mTried);
    }

    /**
     * Records that events of a send were forwarded to the caller: the stream goes on at the same
     * software version only.
     */
    void onEvents(InFlightSend send) {
        mVersion.onEvents(send);
    }

    private void onStreamBegun(String softwareVersion) {
        if (mPlan.route().resumable()) {
            long nowMs = mContext.clock().nowMs();
            StreamOrigin origin = new StreamOrigin(mPlan.service().name(), softwareVersion);
            mContext.origins().onBegun(nowMs, mPlan.streamKey(), origin);
        }
    }

    /** Returns whether there is an upstream to which the request was not sent yet. */
    boolean hasUntriedUpstream(long nowMs) {
        return choose(nowMs).isPresent();
    }

    private void onPermit(long nowMs, UpstreamChoice choice, Optional<SendPermit> permit) {
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
            if (mCounts.onPermitDenied()) {
                mTried.addAll(mContext.upstreamRegistry().rateLimited(nowMs));
            }
            start(nowMs);
            return;
        }
        if (mCounts.sentBefore() && !mContext.tryTakeRetry(nowMs, mPlan.service().name())) {
            mContext.permits().returnUnused(nowMs, permit.get());
            mPlace.release(nowMs);
            mListener.onGivenUp(nowMs, "too many requests are being retried at present");
            return;
        }
        connect(nowMs, choice, permit.get());
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
            if (mCounts.onUnreachable()) {
                mPlace.release(nowMs);
                mListener.onGivenUp(nowMs, "the upstreams are unreachable");
            } else {
                start(nowMs);
            }
            return;
        }
        Optional<String> obstacle = mConditions.obstacle(nowMs, instance);
        if (obstacle.isPresent()) {
            logDecision(nowMs, "not-sent", send.fields().add("reason", obstacle.get()));
            mContext.permits().returnUnused(nowMs, permit);
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (!mContext.permits().redeem(nowMs, permit)) {
            mTried.remove(instance.id());
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (!mCrashes.tryBeginSend(nowMs)) {
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        mConnecting = Optional.empty();
        mListener.onFound(nowMs, send, connection.get());
    }

    private void closeAndSearchAgain(long nowMs, UpstreamConnection unused) {
        unused.cancel();
        releaseConnecting();
        start(nowMs);
    }

    /**
     * Ends the search or the send that it led to: a connection that is still being opened is closed
     * once it is open, and the place at the service becomes free.
     */
    void cancel() {
        releaseConnecting();
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
