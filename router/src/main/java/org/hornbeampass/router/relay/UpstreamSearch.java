package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.ratelimit.SendPermit;
import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.UpstreamChoice;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.transport.relay.UpstreamConnection;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the upstream of each send of one request: chooses it, gets a permit where it has a rate
 * limit, and connects.
 *
 * <p>Invariants: no upstream is connected to twice; after the first send each further one is taken
 * out of the fleet's budget; each send uses up a permit of its upstream. Confined to one event
 * loop.
 */
final class UpstreamSearch {
    /** Takes the end of a search. */
    interface Listener {
        /** A connection is open, on which the request may be sent now. */
        void onFound(long nowMs, InFlightSend use, UpstreamConnection connection);

        /** All upstreams are gone, have been tried or take no requests for now. */
        void onNoneAvailable(long nowMs);

        /** The request is kept from upstreams. */
        void onQuarantined(long nowMs);

        /** The search is given up. */
        void onGivenUp(long nowMs, String why);
    }

    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final CrashHistory mCrashes;
    private final SendCounts mCounts;
    private final Listener mListener;
    private final IncarnationListener mOnInstanceEnd;
    private final Set<String> mTried = new HashSet<>();
    private Optional<InFlightSend> mConnecting = Optional.empty();

    /**
     * Makes a search.
     *
     * @param context what all requests share
     * @param call the request
     * @param plan what is to be sent
     * @param crashes tells whether the request may be sent
     * @param counts counts what is found
     * @param listener takes the end of each search
     * @param onInstanceEnd hears of the end of an upstream that was found
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
    }

    /** Looks for an upstream that the request was not sent to yet. */
    void start(long nowMs) {
        if (!mCrashes.mayBeSent(nowMs)) {
            mListener.onQuarantined(nowMs);
            return;
        }
        Optional<UpstreamChoice> chosen = choose(nowMs);
        if (chosen.isEmpty()) {
            mListener.onNoneAvailable(nowMs);
            return;
        }
        UpstreamChoice choice = chosen.get();
        mContext.rateLimiter()
                .acquire(
                        nowMs,
                        choice.instance().incarnation(),
                        (t, permit) -> onPermit(t, choice, permit));
    }

    private Optional<UpstreamChoice> choose(long nowMs) {
        return mContext.board().choose(nowMs, mPlan.service(), mPlan.head().prompt(), mTried);
    }

    /** Returns whether there is an upstream that the request was not sent to yet. */
    boolean hasUntriedUpstream(long nowMs) {
        return choose(nowMs).isPresent();
    }

    private void onPermit(long nowMs, UpstreamChoice choice, Optional<SendPermit> permit) {
        if (mCall.ended()) {
            permit.ifPresent(p -> mContext.rateLimiter().giveBack(nowMs, p));
            return;
        }
        if (permit.isEmpty()) {
            logDecision(
                    nowMs,
                    "permit-denied",
                    new LogFields().add("upstream", choice.instance().id()));
            if (mCounts.onPermitDenied()) {
                mTried.addAll(mContext.board().rateLimited());
            }
            start(nowMs);
            return;
        }
        if (mCounts.sentBefore() && !mContext.tryTakeRetry(nowMs, mPlan.service().name())) {
            mContext.rateLimiter().giveBack(nowMs, permit.get());
            mListener.onGivenUp(nowMs, "too many requests are sent again now");
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
            mContext.rateLimiter().giveBack(nowMs, permit);
            connection.ifPresent(UpstreamConnection::cancel);
            return;
        }
        if (connection.isEmpty()) {
            mContext.rateLimiter().giveBack(nowMs, permit);
            instance.onSilent(nowMs);
            cancel();
            logDecision(nowMs, "unreachable", send.fields());
            if (mCounts.onUnreachable()) {
                mListener.onGivenUp(nowMs, "the upstreams can't be reached");
            } else {
                start(nowMs);
            }
            return;
        }
        if (!instance.usable(nowMs)) {
            mContext.rateLimiter().giveBack(nowMs, permit);
            closeAndSearchAgain(nowMs, connection.get());
            return;
        }
        if (!mContext.rateLimiter().redeem(nowMs, permit)) {
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
        cancel();
        start(nowMs);
    }

    /** Ends the search; a connection that is opened still is closed. */
    void cancel() {
        mConnecting.ifPresent(InFlightSend::release);
        mConnecting = Optional.empty();
    }

    private void logDecision(long nowMs, String decision, LogFields fields) {
        mContext.log().logDecision(nowMs, mPlan.head().id(), decision, fields);
    }
}
