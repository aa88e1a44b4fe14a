package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * The place of one send at an upstream, as this VM counts it.
 *
 * <p>Invariant: what was counted at the start is taken back once, at the end at the latest.
 * Confined to one event loop.
 */
final class InstanceUse {
    private final UpstreamInstance mInstance;
    private final long mPromptTokens;
    private boolean mPromptRead;
    private boolean mLeft;

    InstanceUse(UpstreamInstance instance, long promptTokens) {
        mInstance = instance;
        mPromptTokens = promptTokens;
        instance.onSent(promptTokens);
    }

    UpstreamInstance instance() {
        return mInstance;
    }

    /** Takes the first part of an answer as evidence. */
    void onAnswering(long nowMs, long sentMs) {
        if (!mPromptRead) {
            mPromptRead = true;
            mInstance.onPromptRead(mPromptTokens);
            mInstance.onFirstPart(nowMs, (double) (nowMs - sentMs), mPromptTokens);
        }
    }

    void leave() {
        if (mLeft) {
            return;
        }
        mLeft = true;
        if (!mPromptRead) {
            mInstance.onPromptRead(mPromptTokens);
        }
        mInstance.onEnded();
    }

    /** Returns the upstream as fields of a log line. */
    String fields() {
        return "\"upstream\":\"" + mInstance.id() + "\",\"in_flight\":" + mInstance.inFlight();
    }
}
