package org.hornbeampass.router.relay;

import org.hornbeampass.transport.relay.UpstreamConnection;
import org.hornbeampass.transport.relay.UpstreamListener;

/**
 * Starts the sends of one request on the connections that were found for them.
 *
 * <p>Invariant: each send is counted. Confined to one event loop.
 */
final class RequestSender {
    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final RequestBody mBody;
    private final SendCounts mCounts;
    private final CallerAnswer mAnswer;
    private final CrashHistory mCrashes;
    private final UpstreamReports mReports;

    RequestSender(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            RequestBody body,
            SendCounts counts,
            CallerAnswer answer,
            CrashHistory crashes,
            UpstreamReports reports) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mBody = body;
        mCounts = counts;
        mAnswer = answer;
        mCrashes = crashes;
        mReports = reports;
    }

    /**
     * Sends the request, as far as its body has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param send the send
     * @param connection its connection
     * @param transfer sends the body, from its start
     * @param listener receives the answer
     */
    void start(
            long nowMs,
            InFlightSend send,
            UpstreamConnection connection,
            BodyTransfer transfer,
            UpstreamListener listener) {
        if (mCounts.onSent(nowMs)) {
            mContext.countFirstSend(nowMs, mPlan.service().name());
        }
        transfer.restart();
        connection.start(
                mPlan.upstreamHead(nowMs, mContext.wire(), send, mAnswer.lastEventId()),
                new RequestAnswers(mContext, mPlan.head().id(), send::fields),
                listener);
        transfer.send(connection);
    }

    /** Sends the request to a second upstream, while the first one is silent. */
    ReplacementSend startReplacement(
            long nowMs,
            InFlightSend send,
            UpstreamConnection connection,
            ReplacementSend.Listener listener) {
        ReplacementSend replacement =
                new ReplacementSend(
                        mPlan,
                        mCrashes,
                        mReports,
                        mContext.pool().limits(),
                        mAnswer,
                        send,
                        connection,
                        nowMs,
                        listener);
        start(nowMs, send, connection, new BodyTransfer(mCall, mBody), replacement);
        return replacement;
    }
}
