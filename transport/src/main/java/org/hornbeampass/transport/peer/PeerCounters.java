package org.hornbeampass.transport.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the traffic and the failures between this router and other routers.
 *
 * <p>Invariant: counts never decrease. Bytes are those of frames, without the overhead of TCP, IP
 * and TLS. Thread-safe.
 */
public final class PeerCounters {
    private final LongAdder mBytesSent = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mFramesSent = new LongAdder();
    private final LongAdder mFramesReceived = new LongAdder();
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mMalformed = new LongAdder();
    private final LongAdder mUnknown = new LongAdder();
    private final LongAdder mRejectedHandshakes = new LongAdder();
    private final LongAdder mTimedOut = new LongAdder();
    private final LongAdder mConnections = new LongAdder();

    void recordSent(int bytes) {
        mBytesSent.add(bytes);
        mFramesSent.increment();
    }

    void recordReceived(int bytes) {
        mBytesReceived.add(bytes);
        mFramesReceived.increment();
    }

    void recordDropped() {
        mDropped.increment();
    }

    void recordMalformed() {
        mMalformed.increment();
    }

    void recordUnknown() {
        mUnknown.increment();
    }

    void recordRejectedHandshake() {
        mRejectedHandshakes.increment();
    }

    void recordTimedOut() {
        mTimedOut.increment();
    }

    void recordConnected() {
        mConnections.increment();
    }

    /** Returns the total bytes of all frames sent. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns the total bytes of all frames received. */
    public long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns the number of frames sent. */
    public long framesSent() {
        return mFramesSent.sum();
    }

    /** Returns the number of frames received. */
    public long framesReceived() {
        return mFramesReceived.sum();
    }

    /** Returns the number of messages that were dropped or rejected before they were sent. */
    public long droppedMessages() {
        return mDropped.sum();
    }

    /** Returns the number of frames that had an invalid length or could not be decoded. */
    public long malformedFrames() {
        return mMalformed.sum();
    }

    /** Returns the number of frames of a kind or type that this router does not know. */
    public long unknownFrames() {
        return mUnknown.sum();
    }

    /** Returns the number of rejected handshakes; those that timed out are not counted. */
    public long rejectedHandshakes() {
        return mRejectedHandshakes.sum();
    }

    /** Returns the number of requests that received no reply within their timeout. */
    public long timedOutRequests() {
        return mTimedOut.sum();
    }

    /** Returns the number of connections whose handshake succeeded. */
    public long connections() {
        return mConnections.sum();
    }
}
