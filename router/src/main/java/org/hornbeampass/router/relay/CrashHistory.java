package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.quarantine.RequestStanding;
import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * The crashes of upstreams that one request may have caused: what the fleet knows of them, and what
 * its own sends add.
 *
 * <p>Confined to one event loop.
 */
final class CrashHistory {
    private final RelayContext mContext;
    private final RequestIdentity mIdentity;
    private final String mRequestId;
    private boolean mDelimited;
    private boolean mTrial;

    CrashHistory(RelayContext context, RequestIdentity identity, String requestId) {
        mContext = context;
        mIdentity = identity;
        mRequestId = requestId;
    }

    RequestDigest digest() {
        return mIdentity.digest();
    }

    /** Returns the verdict on the request as of now. */
    RequestStanding standing() {
        return mIdentity.standing(mContext.quarantine().suspects());
    }

    /** Takes the loss of the request's connection; returns the verdict before it. */
    RequestStanding onConnectionLost(UpstreamInstance instance) {
        RequestStanding before = standing();
        mContext.crashDetector().onConnectionLost(instance, digest());
        return before;
    }

    /** Records that the request's upstream has started again; returns the verdict before it. */
    RequestStanding onUpstreamRestarted(long nowMs, UpstreamInstance instance) {
        RequestStanding before = standing();
        mContext.crashDetector().onRestarted(nowMs, instance, digest());
        return before;
    }

    /** Returns whether the request may go to an upstream as of now, be it as a trial. */
    boolean mayBeSent(long nowMs) {
        return standing().mayBeSent() || mContext.quarantine().trialDue(nowMs, digest());
    }

    /** Returns whether the request may go out at this moment; a trial is counted and logged. */
    boolean tryBeginSend(long nowMs) {
        if (standing().mayBeSent()) {
            return true;
        }
        mTrial = mContext.quarantine().takeTrial(nowMs, digest());
        if (mTrial) {
            LogFields fields = new LogFields().add("digest", digest().toString());
            mContext.log().logDecision(nowMs, mRequestId, "quarantine-trial", fields);
        }
        return mTrial;
    }

    /** The request has left its upstream; what that told is known. */
    void onSendEnded(long nowMs) {
        if (mTrial) {
            mTrial = false;
            mContext.quarantine().endTrial(nowMs, digest());
        }
    }

    /** Takes the head of an answer to the request. */
    void onAnswerHead(HttpResponse head) {
        mDelimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /**
     * Takes the whole answer of an upstream, which clears the request. Where the answer does not
     * tell its end, the end of the connection may be a crash.
     */
    void onAnswered(long nowMs, UpstreamInstance instance) {
        if (!mDelimited) {
            mContext.crashDetector().onConnectionLost(instance, digest());
        } else if (standing() != RequestStanding.UNSUSPECTED) {
            mContext.quarantine().clear(nowMs, digest());
        }
    }
}
