package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.LeavingExchange;
import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * Takes what upstreams say of themselves in their answers, whatever became of the request.
 *
 * <p>Confined to one event loop.
 */
final class UpstreamSignals {
    private final LeavingExchange mLeaving;
    private final RelayLog mLog;

    UpstreamSignals(LeavingExchange leaving, RelayLog log) {
        mLeaving = leaving;
        mLog = log;
    }

    /** Takes the head of an answer; one of another upstream at the same address says nothing. */
    void onAnswer(long nowMs, UpstreamInstance upstream, AnswerHead answer) {
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
        if (answer.leaving()) {
            mLeaving.onAnswer(nowMs, upstream);
        }
    }
}
