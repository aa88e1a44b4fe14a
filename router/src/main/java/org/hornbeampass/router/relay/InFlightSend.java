package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.UpstreamChoice;
import org.hornbeampass.coordination.service.UpstreamInstance;

/**
 * One send of a request that counts as in flight at its upstream on this VM.
 *
 * <p>Invariant: what is counted at the start is taken off exactly once, at the latest when the send
 * ends. Confined to one event loop.
 */
final class InFlightSend implements IncarnationListener {
    /** Receives that the incarnation of a send's upstream has ended. */
    @FunctionalInterface
    interface EndListener {
        /** Called at most once, before the send is released. */
        void onInstanceEnded(long nowMs, InFlightSend send);
    }

    private final UpstreamChoice mChoice;
    private final UpstreamInstance mInstance;
    private final String mSoftwareVersion;
    private final long mTokensToRead;
    private final EndListener mOnInstanceEnd;
    private boolean mPromptRead;
    private boolean mReleased;
    private boolean mRestarted;
    private boolean mHeardSinceRestart;
    private boolean mCrashCounted;
    private long mEvents;
    private long mLastEventMs;
    private long mLastPartMs = Long.MIN_VALUE;

    InFlightSend(UpstreamChoice choice, EndListener onInstanceEnd) {
        mChoice = choice;
        mInstance = choice.instance();
        mSoftwareVersion = mInstance.entry().softwareVersion();
        mTokensToRead = choice.tokensToRead();
        mOnInstanceEnd = onInstanceEnd;
        mInstance.onSent(mTokensToRead, this);
        mInstance.addHeldTokens(choice.facts().heldTokens());
    }

    UpstreamInstance instance() {
        return mInstance;
    }

    /** Returns the version of the upstream's software when the request was sent. */
    String softwareVersion() {
        return mSoftwareVersion;
    }

    /** Records a part of an answer; the first shows that the upstream has read the prompt. */
    void onAnswerPart(long nowMs, long sentMs) {
        mLastPartMs = nowMs;
        mHeardSinceRestart = mRestarted;
        if (!mPromptRead) {
            mPromptRead = true;
            mInstance.onPromptRead(mTokensToRead);
            mInstance.onFirstPart(nowMs, (double) (nowMs - sentMs), mTokensToRead);
            mInstance.learnFirstEvent(nowMs, (double) (nowMs - sentMs), mChoice);
            mLastEventMs = nowMs;
        }
    }

    /**
     * Records that this send has brought events.
     *
     * @param nowMs the present time in milliseconds
     * @param events the number of events of the stream so far, with those of earlier sends
     */
    void onEvents(long nowMs, long events) {
        if (events <= mEvents) {
            return;
        }
        if (mEvents > 0) {
            mInstance.learnEvents(
                    nowMs,
                    (double) (nowMs - mLastEventMs),
                    events - mEvents,
                    mChoice.facts().running());
        }
        mEvents = events;
        mLastEventMs = nowMs;
    }

    /** Records that the answer is complete. */
    void onComplete(long nowMs, long sentMs) {
        mInstance.learnCompletion((double) (nowMs - sentMs));
    }

    /** Returns whether a part of the answer has arrived. */
    boolean hasBegun() {
        return mPromptRead;
    }

    /** Returns whether it has brought whole events. */
    boolean hasBroughtEvents() {
        return mEvents > 0;
    }

    /**
     * Returns, once, that the upstream has started again and nothing has arrived from it since: it
     * counts as a crash.
     */
    boolean takeCrash() {
        boolean crashed = mRestarted && !mHeardSinceRestart && !mCrashCounted;
        mCrashCounted |= crashed;
        return crashed;
    }

    /** Returns whether the upstream has started again at another software version. */
    boolean hasChangedVersion() {
        return mInstance
                .successor()
                .filter(e -> !e.softwareVersion().equals(mSoftwareVersion))
                .isPresent();
    }

    /** Returns the number of prompt tokens that the upstream has to read. */
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
        mInstance.addHeldTokens(-mChoice.facts().heldTokens());
        mInstance.onEnded(this);
    }

    @Override
    public void onEnded(long nowMs) {
        mRestarted = true;
        mOnInstanceEnd.onInstanceEnded(nowMs, this);
    }

    /**
     * Returns the upstream's id and software version and its requests in flight as fields of a log
     * line.
     */
    LogFields fields() {
        return new LogFields()
                .add("upstream", mInstance.id())
                .add("software_version", mSoftwareVersion)
                .add("in_flight", mInstance.inFlight());
    }

    /** Returns {@link #fields} and for how long a request sent at {@code sentMs} heard nothing. */
    LogFields fieldsAt(long nowMs, long sentMs) {
        return fields().add("silent_ms", nowMs - Math.max(sentMs, mLastPartMs));
    }
}
