package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.UpstreamConnection;

import java.util.Optional;

/**
 * Decides whether an answer that ended early is a fault of its upstream or of a caller that read
 * too slowly: an upstream cuts off an answer that stays unread for seconds.
 *
 * <p>Invariant: a cut-off that is attributed to the caller counts neither as a failure of the
 * upstream nor as a sign of a crash. Confined to one event loop.
 */
final class LossAttribution {
    /**
     * For how long an answer must have stayed unread, in milliseconds, for its end to be attributed
     * to the caller. Upstreams wait for seconds.
     */
    static final long MIN_UNREAD_MS = 1_000;

    private static final String CUT_OFF =
            "the upstream cut off an answer that the caller left unread";

    private final RelayLog mLog;
    private final CrashHistory mCrashes;
    private long mUnreadMs;
    private boolean mBrokenByCaller;
    private boolean mLostByCaller;

    LossAttribution(RelayLog log, CrashHistory crashes) {
        mLog = log;
        mCrashes = crashes;
    }

    /** Returns why an answer whose end nothing marks may have been cut off. */
    Optional<String> defect(
            long nowMs, AnswerFraming framing, Optional<UpstreamConnection> connection) {
        return connection
                .filter(c -> !framing.isExplicit() && c.longestPauseMs(nowMs) >= MIN_UNREAD_MS)
                .map(c -> CUT_OFF);
    }

    /**
     * Records a broken answer.
     *
     * @param nowMs the present time in milliseconds
     * @param unreadMs the longest time for which it was not read, in milliseconds
     * @param instance the upstream
     * @return the request's quarantine status before it
     */
    QuarantineStatus onBroken(long nowMs, long unreadMs, UpstreamInstance instance) {
        mUnreadMs = unreadMs;
        mBrokenByCaller = unreadMs >= MIN_UNREAD_MS;
        if (mBrokenByCaller) {
            return mCrashes.status();
        }
        instance.onNoAnswer(nowMs);
        return mCrashes.onConnectionLost(nowMs, instance);
    }

    /** Logs the loss of an upstream, with or without a broken answer right before. */
    void log(long nowMs, String id, LogFields fields) {
        mLostByCaller = mBrokenByCaller;
        mBrokenByCaller = false;
        if (mLostByCaller) {
            mLog.logDecision(nowMs, id, "caller-cut-off", fields.add("unread_ms", mUnreadMs));
        } else {
            mLog.logUpstreamLost(nowMs, id, fields.addAll(mCrashes.fields()));
        }
    }

    /** Returns why the request is given up. */
    String reason() {
        return mLostByCaller ? CUT_OFF : "the upstream was lost";
    }

    /** Returns the outcome of an answer that is broken off. */
    String outcome() {
        return mLostByCaller ? "caller-slow" : "broken";
    }
}
