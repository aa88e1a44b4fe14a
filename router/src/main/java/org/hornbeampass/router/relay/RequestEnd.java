package org.hornbeampass.router.relay;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

/**
 * Ends one request that was admitted: decides what its caller gets where no upstream completes the
 * answer, and what the request has used.
 *
 * <p>Invariants: the place at the service becomes free; a failure that states that the request did
 * not run is answered only where that is certain; an answer of which the caller has a part is
 * broken off, so that it does not look complete. No upstream may work on the request any more.
 * Confined to one event loop.
 */
final class RequestEnd {
    private final RelayContext mContext;
    private final RelayCall mCall;
    private final RelayPlan mPlan;
    private final SendCounts mCounts;
    private final CallerAnswer mAnswer;
    private final CrashHistory mCrashes;
    private final LossAttribution mLoss;
    private final UpstreamSearch mSearch;

    RequestEnd(
            RelayContext context,
            RelayCall call,
            RelayPlan plan,
            SendCounts counts,
            CallerAnswer answer,
            CrashHistory crashes,
            LossAttribution loss,
            UpstreamSearch search) {
        mContext = context;
        mCall = call;
        mPlan = plan;
        mCounts = counts;
        mAnswer = answer;
        mCrashes = crashes;
        mLoss = loss;
        mSearch = search;
    }

    /** Ends a request whose answer is complete. */
    void complete(long nowMs) {
        mSearch.cancel();
        if (mCall.callerGone()) {
            withoutCaller(nowMs);
            return;
        }
        mAnswer.end();
        mCall.end(nowMs, "answered", usedTokens());
        mCall.caller().sendEnd();
    }

    /** Ends a request whose caller has gone. */
    void withoutCaller(long nowMs) {
        mSearch.cancel();
        mAnswer.release();
        mCall.end(nowMs, "caller-gone", usedTokens());
    }

    /** Ends a request whose deadline has passed. */
    void atDeadline(long nowMs) {
        if (mAnswer.headSent()) {
            breakOff(nowMs, "the deadline has passed");
        } else if (mCounts.mayHaveRun()) {
            fail(nowMs, Failure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"));
        } else {
            fail(
                    nowMs,
                    Refusals.noUpstream("the deadline passed before the request could be sent"));
        }
    }

    /** Ends a request, since the process exits. */
    void atExit(long nowMs) {
        if (isUnsent()) {
            fail(nowMs, Refusals.shuttingDown());
        } else {
            giveUp(nowMs, "the router shuts down before the answer is complete");
        }
    }

    /** Ends a request that is refused. */
    void refuse(long nowMs, Failure failure) {
        if (mAnswer.headSent()) {
            breakOff(nowMs, failure.message());
        } else {
            fail(nowMs, failure);
        }
    }

    /** Ends a request that may not be sent, since it may crash upstreams. */
    void quarantine(long nowMs) {
        if (mCounts.mayHaveRun()) {
            giveUp(nowMs, mCrashes.reasonNotSent(nowMs));
        } else {
            fail(nowMs, mCrashes.refuse(nowMs));
        }
    }

    /** Ends a request that no upstream accepts, or forwards it to another VM. */
    void withoutUpstream(long nowMs) {
        mSearch.cancel();
        if (isUnsent() && mCall.forwardIfAdvised(nowMs)) {
            return;
        }
        if (!isUnsent()) {
            giveUp(nowMs, "no upstream accepts requests at present");
            return;
        }
        fail(
                nowMs,
                UnavailableService.refusal(
                        nowMs, mContext.upstreamRegistry(), mPlan, mContext.random()));
    }

    /** Ends a request for which no upstream could be reached, or forwards it to another VM. */
    void unreachable(long nowMs, String why) {
        mSearch.cancel();
        if (!isUnsent() || !mCall.forwardIfAdvised(nowMs)) {
            giveUp(nowMs, why);
        }
    }

    private boolean isUnsent() {
        return !mAnswer.headSent() && !mCounts.mayHaveRun();
    }

    /** Ends a request that is not sent on. */
    void giveUp(long nowMs, String why) {
        mSearch.cancel();
        if (mAnswer.headSent()) {
            breakOff(nowMs, why);
            return;
        }
        if (!mCounts.mayHaveRun()) {
            fail(nowMs, mSearch.refusal(nowMs, why));
            return;
        }
        mContext.log().logGivenUp(nowMs, mPlan.head().id(), false, why);
        fail(nowMs, Failure.of(mPlan.route().kind().lossError(), why));
    }

    /**
     * Breaks off an answer that can't be completed and closes the caller's connection, so that the
     * caller sees that the answer is incomplete.
     */
    void breakOff(long nowMs, String why) {
        mContext.log().logGivenUp(nowMs, mPlan.head().id(), true, why);
        mSearch.cancel();
        mAnswer.release();
        mCall.end(nowMs, mLoss.outcome(), usedTokens());
        mCall.caller().abort();
    }

    private void fail(long nowMs, Failure failure) {
        mSearch.cancel();
        mAnswer.release();
        mCall.fail(nowMs, failure, usedTokens());
    }

    /**
     * Returns the tokens that the request has used: its prompt, counted once, and the tokens
     * delivered to the caller.
     */
    private long usedTokens() {
        if (!mCounts.mayHaveRun()) {
            return 0;
        }
        return mPlan.head().prompt().promptTokens() + mAnswer.eventCount() * mPlan.tokensPerEvent();
    }
}
