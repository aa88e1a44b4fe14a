package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.RateLimit;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamSignals;

/**
 * Takes what upstreams say of themselves in their answers, whatever became of the request.
 *
 * <p>Confined to one event loop.
 */
final class AnswerSignals {
    private final SignalExchange mExchange;
    private final RelayLog mLog;

    AnswerSignals(SignalExchange exchange, RelayLog log) {
        mExchange = exchange;
        mLog = log;
    }

    /**
     * Takes the head of an answer. One of another upstream at the same address says nothing; one to
     * another request may be late, and says only what is never taken back.
     *
     * @param nowMs the present time in milliseconds
     * @param askedMs when the request was sent, in milliseconds
     * @param upstream the upstream
     * @param answer the head
     */
    void onAnswer(long nowMs, long askedMs, UpstreamInstance upstream, AnswerHead answer) {
        if (answer.kind() == AnswerClass.ANOTHER_UPSTREAM) {
            return;
        }
        boolean current = answer.kind() != AnswerClass.UNRELATED;
        if (current && answer.pauseMs().isPresent()) {
            long pauseMs = answer.pauseMs().getAsLong();
            upstream.onPauseRequested(nowMs, pauseMs);
            mLog.believes(
                    nowMs,
                    "upstream-pauses",
                    new LogFields().add("upstream", upstream.id()).add("pause_ms", pauseMs));
        }
        RateLimit limit = current ? rateLimit(nowMs, askedMs, answer) : RateLimit.UNKNOWN;
        mExchange.onAnswer(nowMs, upstream, new UpstreamSignals(answer.leaving(), limit));
    }

    /** Only a proven answer tells that there is no limit: refusals and errors may name none. */
    private static RateLimit rateLimit(long nowMs, long askedMs, AnswerHead answer) {
        boolean tells = answer.limitPerSecond().isPresent() || answer.proven();
        return tells ? new RateLimit(answer.limitPerSecond(), askedMs, nowMs) : RateLimit.UNKNOWN;
    }
}
