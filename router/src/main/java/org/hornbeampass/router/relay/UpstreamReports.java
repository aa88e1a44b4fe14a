package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * Records what the answers to one request tell about the upstreams that sent them.
 *
 * <p>Confined to one event loop.
 */
final class UpstreamReports {
    private final RelayContext mContext;
    private final RelayPlan mPlan;
    private final SendCounts mCounts;
    private final UpstreamSearch mSearch;

    UpstreamReports(
            RelayContext context, RelayPlan plan, SendCounts counts, UpstreamSearch search) {
        mContext = context;
        mPlan = plan;
        mCounts = counts;
        mSearch = search;
    }

    /**
     * Reads the head of an answer, applies its signals and counts failures.
     *
     * @param nowMs the present time in milliseconds
     * @param sentMs when the request was sent, in milliseconds
     * @param upstream the upstream to which it was sent
     * @param head the head
     * @return how the upstream handled the request
     */
    AnswerOutcome onHead(long nowMs, long sentMs, UpstreamInstance upstream, HttpResponse head) {
        AnswerHead answer = mContext.wire().readAnswer(head, mPlan.head().id());
        mContext.answerSignals().onAnswer(nowMs, sentMs, upstream, answer);
        AnswerOutcome outcome = answer.outcome();
        if (outcome == AnswerOutcome.UNVERIFIED || outcome == AnswerOutcome.FAILED) {
            upstream.onErrorAnswer(nowMs);
        }
        return outcome;
    }

    /** Records that an upstream stated that it did not run the request. */
    void onNotRun(long nowMs, InFlightSend send, AnswerOutcome outcome) {
        UpstreamInstance instance = send.instance();
        mCounts.onNotRun(outcome);
        if (outcome == AnswerOutcome.WRONG_UPSTREAM) {
            mContext.upstreamRegistry().onIdentityMismatch(nowMs, instance);
        } else {
            instance.onOverloaded(nowMs, RelayBounds.FULL_PAUSE_MS);
            mSearch.onFull(nowMs, instance);
        }
        String decision = outcome == AnswerOutcome.NOT_RUN ? "upstream-full" : "upstream-replaced";
        log(nowMs, decision, send.fields());
    }

    /** Logs a failure that is not passed on. */
    void onFailed(long nowMs, InFlightSend send, HttpResponse head) {
        log(nowMs, "upstream-failed", send.fields().add("status", head.status().code()));
    }

    private void log(long nowMs, String decision, LogFields fields) {
        mContext.log().logDecision(nowMs, mPlan.head().id(), decision, fields);
    }
}
