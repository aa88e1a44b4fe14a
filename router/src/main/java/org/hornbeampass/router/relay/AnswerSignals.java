package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.RateLimit;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamSignals;

import java.util.OptionalDouble;

/**
 * Applies the signals that upstreams send about themselves in the heads of their answers, whatever
 * the outcome of the request.
 *
 * <p>Confined to one event loop.
 */
final class AnswerSignals {
    private final SignalExchange mExchange;
    private final SlowStarts mSlowStarts;
    private final RelayLog mLog;

    AnswerSignals(SignalExchange exchange, SlowStarts slowStarts, RelayLog log) {
        mExchange = exchange;
        mSlowStarts = slowStarts;
        mLog = log;
    }

    /**
     * Applies the signals in the head of an answer. An answer of a different upstream at the same
     * address is ignored. An answer to another request may be late, so only a signal that is never
     * withdrawn is taken from it.
     *
     * @param nowMs the present time in milliseconds
     * @param askedMs when the request was sent, in milliseconds
     * @param upstream the upstream to which the request was sent
     * @param answer the head of the answer
     */
    void onAnswer(long nowMs, long askedMs, UpstreamInstance upstream, AnswerHead answer) {
        if (answer.outcome() == AnswerOutcome.WRONG_UPSTREAM) {
            return;
        }
        boolean current = answer.outcome() != AnswerOutcome.UNRELATED;
        if (current && answer.pauseMs().isPresent()) {
            long pauseMs = answer.pauseMs().getAsLong();
            upstream.onPauseRequested(nowMs, pauseMs);
            mLog.logStateChange(
                    nowMs,
                    "upstream-pauses",
                    new LogFields().add("upstream", upstream.id()).add("pause_ms", pauseMs));
        }
        if (current && answer.coldLeftMs().isPresent()) {
            mSlowStarts.onStated(nowMs, upstream, answer.coldLeftMs().getAsLong());
        }
        if (current) {
            onBrittleness(nowMs, upstream, answer);
        }
        RateLimit limit = current ? rateLimit(nowMs, askedMs, answer) : RateLimit.UNKNOWN;
        mExchange.onAnswer(nowMs, upstream, new UpstreamSignals(answer.leaving(), limit));
    }

    /** Applies whether an upstream is brittle; only an answer with a seal shows that it is not. */
    private void onBrittleness(long nowMs, UpstreamInstance upstream, AnswerHead answer) {
        OptionalDouble most = answer.maxRejectionsPerS();
        if (most.isEmpty() && !answer.hasSeal()) {
            return;
        }
        if (upstream.onBrittleness(most)) {
            mLog.logStateChange(
                    nowMs,
                    most.isPresent() ? "upstream-brittle" : "upstream-not-brittle",
                    new LogFields()
                            .add("upstream", upstream.id())
                            .add("max_rejections_per_s", Double.toString(most.orElse(0))));
        }
    }

    /**
     * Returns the rate limit that an answer states. Only an answer with a seal can state that there
     * is no limit, since refusals and errors may leave a limit out.
     */
    private static RateLimit rateLimit(long nowMs, long askedMs, AnswerHead answer) {
        boolean conclusive = answer.limitPerSecond().isPresent() || answer.hasSeal();
        return conclusive
                ? new RateLimit(answer.limitPerSecond(), askedMs, nowMs)
                : RateLimit.UNKNOWN;
    }
}
