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
     * Takes the head of an answer; one of another upstream at the same address says nothing.
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
        if (answer.pauseMs().isPresent()) {
            long pauseMs = answer.pauseMs().getAsLong();
            upstream.onPauseAsked(nowMs, pauseMs);
            mLog.believes(
                    nowMs,
                    "upstream-pauses",
                    new LogFields().add("upstream", upstream.id()).add("pause_ms", pauseMs));
        }
        mExchange.onAnswer(
                nowMs,
                upstream,
                new UpstreamSignals(answer.leaving(), rateLimit(nowMs, askedMs, answer)));
    }

    /** Only a proven answer tells that there is no limit: refusals and errors may name none. */
    private static RateLimit rateLimit(long nowMs, long askedMs, AnswerHead answer) {
        boolean tells =
                answer.kind() != AnswerClass.UNRELATED
                        && (answer.limitPerSecond().isPresent() || answer.proven());
        return tells ? new RateLimit(answer.limitPerSecond(), askedMs, nowMs) : RateLimit.UNKNOWN;
    }
}
