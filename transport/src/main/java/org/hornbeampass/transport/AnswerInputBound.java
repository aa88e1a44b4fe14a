package org.hornbeampass.transport;

import java.util.Optional;

/**
 * Bounds what is read of an answer outside its body: before its head is complete, and as chunk
 * sizes, chunk extensions and trailers.
 *
 * <p>Invariant: a bound that was exceeded once stays exceeded until the next request. Not
 * thread-safe.
 */
public final class AnswerInputBound {
    /**
     * The most bytes of framing for each byte of the body. A chunk of one byte takes five more;
     * chunk extensions that are longer than the chunks they belong to exceed it.
     */
    private static final long MAX_FRAMING_PER_BODY_BYTE = 8;

    private final UpstreamLimits mLimits;
    private long mReadBytes;
    private long mBodyBytes;
    private int mSkippedAnswers;
    private boolean mHeadComplete;

    /** Creates a bound before the first request. */
    public AnswerInputBound(UpstreamLimits limits) {
        mLimits = limits;
    }

    /** Counts from zero for the next request. */
    public void onRequest() {
        mReadBytes = 0;
        mBodyBytes = 0;
        mSkippedAnswers = 0;
        mHeadComplete = false;
    }

    /** Counts bytes that were read from the socket. */
    public void onRead(int bytes) {
        mReadBytes += bytes;
    }

    /** Counts an answer that is skipped: an informational one, or that to another request. */
    public void onSkippedAnswer() {
        mSkippedAnswers++;
    }

    /** The head of the answer to the request is complete. */
    public void onHead() {
        mHeadComplete = true;
    }

    /** Counts bytes of the body of the answer. */
    public void onBody(int bytes) {
        mBodyBytes += bytes;
    }

    /** Returns which bound what was counted exceeds; empty if none. */
    public Optional<String> exceeded() {
        if (mSkippedAnswers > mLimits.informationalAnswers()) {
            return Optional.of(
                    "more than informational_answers = "
                            + mLimits.informationalAnswers()
                            + " came before the answer");
        }
        long outsideBody = mReadBytes - mBodyBytes * (1 + MAX_FRAMING_PER_BODY_BYTE);
        if (outsideBody <= mLimits.headBytes()) {
            return Optional.empty();
        }
        String where = mHeadComplete ? " between the parts of its body" : " before its head";
        return Optional.of("the answer has more than head_bytes = " + mLimits.headBytes() + where);
    }
}
