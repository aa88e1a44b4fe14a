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
    private final RelayContext mParts;
    private final RequestIdentity mIdentity;
    private final String mRequestId;
    private boolean mTellsItsEnd;
    private boolean mTrial;

    CrashHistory(RelayContext parts, RequestIdentity identity, String requestId) {
        mParts = parts;
        mIdentity = identity;
        mRequestId = requestId;
    }

    RequestDigest digest() {
        return mIdentity.digest();
    }

    /** Returns the verdict on the request as of now. */
    RequestStanding standing() {
        return mIdentity.standing(mParts.quarantine().suspects());
    }

    /** Takes the loss of the request's connection; returns the verdict before it. */
    RequestStanding onBroken(UpstreamInstance instance) {
        RequestStanding before = standing();
        mParts.crashes().onBroken(instance, digest());
        return before;
    }

    /** Records that the request's upstream has started again; returns the verdict before it. */
    RequestStanding onStartedAgain(long nowMs, UpstreamInstance instance) {
        RequestStanding before = standing();
        mParts.crashes().onStartedAgain(nowMs, instance, digest());
        return before;
    }

    /** Returns whether the request may go to an upstream as of now, be it as a trial. */
    boolean mayBeSent(long nowMs) {
        return standing().mayBeSent() || mParts.quarantine().trialDue(nowMs, digest());
    }

    /** Returns whether the request may go out at this moment; a trial is counted and logged. */
    boolean takeSend(long nowMs) {
        if (standing().mayBeSent()) {
            return true;
        }
        mTrial = mParts.quarantine().takeTrial(nowMs, digest());
        if (mTrial) {
            LogFields fields = new LogFields().add("digest", digest().toString());
            mParts.log().decided(nowMs, mRequestId, "quarantine-trial", fields);
        }
        return mTrial;
    }

    /** The request has left its upstream; what that told is known. */
    void onLeft(long nowMs) {
        if (mTrial) {
            mTrial = false;
            mParts.quarantine().endTrial(nowMs, digest());
        }
    }

    /** Takes the head of an answer to the request. */
    void onHead(HttpResponse head) {
        mTellsItsEnd =
                HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /**
     * Takes the whole answer of an upstream, which clears the request. Where the answer does not
     * tell its end, the end of the connection may be a crash.
     */
    void onAnswered(long nowMs, UpstreamInstance instance) {
        if (!mTellsItsEnd) {
            mParts.crashes().onBroken(instance, digest());
        } else if (standing() != RequestStanding.UNSUSPECTED) {
            mParts.quarantine().clear(nowMs, digest());
        }
    }
}
