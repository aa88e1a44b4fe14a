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
        void onFound(long nowMs, InstanceUse use, UpstreamConnection connection);

        /** All upstreams are gone, have been tried or take no requests for now. */
        void onNoneUsable(long nowMs);

        /** The request is kept from upstreams. */
        void onQuarantined(long nowMs);

        /** The search is given up. */
        void onGivenUp(long nowMs, String why);
    }

    private final RelayParts mParts;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final CrashHistory mCrashes;
    private final SendCounts mCounts;
    private final Listener mListener;
    private final IncarnationListener mOnInstanceEnd;
    private final Set<String> mTried = new HashSet<>();
    private Optional<InstanceUse> mConnecting = Optional.empty();

    /**
     * Makes a search.
     *
     * @param parts what all requests share
     * @param call the request
     * @param plan what is to be sent
     * @param crashes tells whether the request may be sent
     * @param counts counts what is found
     * @param listener takes the end of each search
     * @param onInstanceEnd hears of the end of an upstream that was found
     */
    UpstreamSearch(
            RelayParts parts,
            RelayCall call,
            RelayPlan plan,
            CrashHistory crashes,
            SendCounts counts,
            Listener listener,
            IncarnationListener onInstanceEnd) {
        mParts = parts;
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
            mListener.onNoneUsable(nowMs);
            return;
        }
        UpstreamChoice choice = chosen.get();
        mParts.limiter()
                .acquire(
                        nowMs,
                        choice.instance().incarnation(),
                        (t, permit) -> onPermit(t, choice, permit));
    }

    private Optional<UpstreamChoice> choose(long nowMs) {
        return mParts.upstreamRegistry()
                .choose(nowMs, mPlan.service(), mPlan.head().prompt(), mTried);
    }

    /** Returns whether there is an upstream that the request was not sent to yet. */
    boolean anyLeft(long nowMs) {
        return choose(nowMs).isPresent();
    }

    private void onPermit(long nowMs, UpstreamChoice choice, Optional<SendPermit> permit) {
        if (mCall.ended()) {
            permit.ifPresent(p -> mParts.limiter().giveBack(nowMs, p));
            return;
        }
        if (permit.isEmpty()) {
            decided(
                    nowMs,
                    "permit-denied",
                    new LogFields().add("upstream", choice.instance().id()));
            if (mCounts.onDenied()) {
                mTried.addAll(mParts.upstreamRegistry().rateLimited());
            }
            start(nowMs);
            return;
        }
        if (mCounts.sentBefore() && !mParts.takeRetry(nowMs, mPlan.service().name())) {
            mParts.limiter().giveBack(nowMs, permit.get());
            mListener.onGivenUp(nowMs, "too many requests are sent again now");
            return;
        }
        connect(nowMs, choice, permit.get());
    }

    private void connect(long nowMs, UpstreamChoice choice, SendPermit permit) {
        UpstreamInstance instance = choice.instance();
        mTried.add(instance.id());
        InstanceUse use = new InstanceUse(choice, mOnInstanceEnd);
        mConnecting = Optional.of(use);
        long leftMs = mPlan.deadlineMs() - nowMs;
        long maxIdleMs =
                mPlan.route().mayRunAgain() ? Long.MAX_VALUE : RelayBounds.CAUTIOUS_IDLE_MS;
        mParts.pool()
                .connect(
                        nowMs,
                        instance.entry().address(),
                        maxIdleMs,
                        (int) Math.max(1, Math.min(RelayBounds.CONNECT_TIMEOUT_MS, leftMs)),
                        connection -> onConnected(use, permit, connection));
    }

    private void onConnected(
            InstanceUse use, SendPermit permit, Optional<UpstreamConnection> connection) {
        long nowMs = mParts.clock().nowMs();
        UpstreamInstance instance = use.instance();
        boolean current = mConnecting.equals(Optional.of(use)) && !mCall.ended();
        if (!current) {
            mParts.limiter().giveBack(nowMs, permit);
            connection.ifPresent(UpstreamConnection::cancel);
            return;
        }
        if (connection.isEmpty()) {
            mParts.limiter().giveBack(nowMs, permit);
            instance.onNoAnswer(nowMs);
            cancel();
            decided(nowMs, "unreachable", use.fields());
            if (mCounts.onUnreachable()) {
                mListener.onGivenUp(nowMs, "the upstreams can't be reached");
            } else {
                start(nowMs);
            }
            return;
        }
        if (!instance.isUsable(nowMs)) {
            mParts.limiter().giveBack(nowMs, permit);
            lookElsewhere(nowMs, connection.get());
            return;
        }
        if (!mParts.limiter().redeem(nowMs, permit)) {
            mTried.remove(instance.id());
            lookElsewhere(nowMs, connection.get());
            return;
        }
        if (!mCrashes.takeSend(nowMs)) {
            lookElsewhere(nowMs, connection.get());
            return;
        }
        mConnecting = Optional.empty();
        mListener.onFound(nowMs, use, connection.get());
    }

    private void lookElsewhere(long nowMs, UpstreamConnection unused) {
        unused.cancel();
        cancel();
        start(nowMs);
    }

    /** Ends the search; a connection that is opened still is closed. */
    void cancel() {
        mConnecting.ifPresent(InstanceUse::leave);
        mConnecting = Optional.empty();
    }

    private void decided(long nowMs, String decision, LogFields fields) {
        mParts.log().decided(nowMs, mPlan.head().id(), decision, fields);
    }
}
