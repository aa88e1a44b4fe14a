package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.LeavingExchange;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Takes what upstreams say of themselves in their answers, whatever became of the request.
 *
 * <p>Confined to one event loop.
 */
final class UpstreamSignals {
    private final LeavingExchange mLeaving;
    private final RelayLog mLog;
    private final Map<UpstreamIncarnation, OptionalDouble> mLimits = new HashMap<>();

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
        logLimit(nowMs, upstream, answer);
    }

    private void logLimit(long nowMs, UpstreamInstance upstream, AnswerHead answer) {
        OptionalDouble limit = answer.limitPerSecond();
        UpstreamIncarnation incarnation = upstream.incarnation();
        if (limit.equals(mLimits.getOrDefault(incarnation, OptionalDouble.empty()))) {
            return;
        }
        mLimits.put(incarnation, limit);
        mLog.believes(
                nowMs,
                "upstream-limit",
                new LogFields()
                        .add("upstream", upstream.id())
                        .add("per_second", Double.toString(limit.orElse(-1)))
                        .add("in_flight", upstream.inFlight()));
    }
}
