package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.UpstreamChoice;
import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * The place of one send at an upstream, as this VM counts it.
 *
 * <p>Invariant: what was counted at the start is taken back once, at the end at the latest.
 * Confined to one event loop.
 */
final class InFlightSend implements IncarnationListener {
    private final UpstreamInstance mInstance;
    private final long mTokensToRead;
    private final IncarnationListener mOnInstanceEnd;
    private boolean mPromptRead;
    private boolean mReleased;

    InFlightSend(UpstreamChoice choice, IncarnationListener onInstanceEnd) {
        mInstance = choice.instance();
        mTokensToRead = choice.tokensToRead();
        mOnInstanceEnd = onInstanceEnd;
        mInstance.onSent(mTokensToRead, this);
    }

    UpstreamInstance instance() {
        return mInstance;
    }

    /** Takes the first part of an answer as evidence. */
    void onAnswerPart(long nowMs, long sentMs) {
        if (!mPromptRead) {
            mPromptRead = true;
            mInstance.onPromptRead(mTokensToRead);
            mInstance.onFirstPart(nowMs, (double) (nowMs - sentMs), mTokensToRead);
        }
    }

    /** Returns the prompt tokens that the upstream has to read. */
    long tokensToRead() {
        return mTokensToRead;
    }

    void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        if (!mPromptRead) {
            mInstance.onPromptRead(mTokensToRead);
        }
        mInstance.onEnded(this);
    }

    @Override
    public void onEnded(long nowMs) {
        mOnInstanceEnd.onEnded(nowMs);
    }

    /** Returns the upstream as fields of a log line. */
    LogFields fields() {
        return new LogFields()
                .add("upstream", mInstance.id())
                .add("in_flight", mInstance.inFlight());
    }
}
