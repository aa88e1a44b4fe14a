package org.hornbeampass.router.relay;

import java.util.Optional;

/**
 * Writes the log lines on the sends of one request.
 *
 * <p>Confined to one event loop.
 */
final class SendLog {
    private final RelayLog mLog;
    private final String mRequestId;
    private final SendCounts mCounts;
    private final CallerAnswer mAnswer;
    private final LossAttribution mLoss;

    SendLog(
            RelayLog log,
            String requestId,
            SendCounts counts,
            CallerAnswer answer,
            LossAttribution loss) {
        mLog = log;
        mRequestId = requestId;
        mCounts = counts;
        mAnswer = answer;
        mLoss = loss;
    }

    /**
     * Logs that an upstream is silent for longer than the route tolerates.
     *
     * @param nowMs the present time in milliseconds
     * @param send the send
     * @param sentMs when it was sent, in milliseconds
     * @param lateMs how late the silence was noticed, in milliseconds
     */
    void silent(long nowMs, InFlightSend send, long sentMs, long lateMs) {
        LogFields fields = withEvents(send.fieldsAt(nowMs, sentMs).add("late_ms", lateMs));
        decision(nowMs, "upstream-silent", fields.addAll(mCounts.fields()));
    }

    /** Logs that an upstream goes on that was silent for a time in milliseconds since reported. */
    void goesOn(long nowMs, InFlightSend send, long afterMs) {
        decision(
                nowMs,
                "silent-upstream-goes-on",
                withEvents(send.fields().add("after_ms", afterMs)));
    }

    /** Logs why a silent upstream is not left. */
    void silentKept(long nowMs, InFlightSend send, long sentMs, String reason) {
        LogFields fields = send.fieldsAt(nowMs, sentMs).add("reason", reason);
        decision(nowMs, "silent-upstream-kept", fields);
    }

    /** Logs that a send goes on though its upstream has restarted. */
    void restartedKept(long nowMs, InFlightSend send, long sentMs) {
        decision(nowMs, "restarted-upstream-kept", withEvents(send.fieldsAt(nowMs, sentMs)));
    }

    /** Logs that a silent upstream is left for another one. */
    void replaced(long nowMs, InFlightSend send, long sentMs, InFlightSend replacement) {
        LogFields fields =
                send.fieldsAt(nowMs, sentMs)
                        .add("reason", "the upstream was silent for too long")
                        .add("replaced_by", replacement.instance().id());
        mLoss.log(nowMs, mRequestId, withEvents(fields));
    }

    /** Logs that a request has lost its upstream, if it had one. */
    void lost(long nowMs, Optional<InFlightSend> send, long sentMs, String reason) {
        LogFields fields = send.map(s -> s.fieldsAt(nowMs, sentMs)).orElseGet(LogFields::new);
        mLoss.log(nowMs, mRequestId, withEvents(fields.add("reason", reason)));
    }

    private LogFields withEvents(LogFields fields) {
        return fields.add("events", mAnswer.eventCount());
    }

    private void decision(long nowMs, String decision, LogFields fields) {
        mLog.logDecision(nowMs, mRequestId, decision, fields);
    }
}
