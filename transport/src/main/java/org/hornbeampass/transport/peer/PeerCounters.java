package org.hornbeampass.transport.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what goes between this router and the others.
 *
 * <p>Invariant: no count ever falls. Bytes are those of frames, without TCP, IP and TLS.
 * Thread-safe.
 */
public final class PeerCounters {
    private final LongAdder mBytesSent = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mFramesSent = new LongAdder();
    private final LongAdder mFramesReceived = new LongAdder();
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mMalformed = new LongAdder();
    private final LongAdder mUnknown = new LongAdder();
    private final LongAdder mFailedHandshakes = new LongAdder();
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

    void recordFailedHandshake() {
        mFailedHandshakes.increment();
    }

    void recordTimedOut() {
        mTimedOut.increment();
    }

    void recordConnected() {
        mConnections.increment();
    }

    /** Returns the bytes of all frames sent. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns the bytes of all frames received. */
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

    /** Returns the number of messages that were dropped or refused before they were sent. */
    public long droppedMessages() {
        return mDropped.sum();
    }

    /** Returns the number of frames that were out of bounds or could not be decoded. */
    public long malformedFrames() {
        return mMalformed.sum();
    }

    /** Returns the number of frames of a kind or type that this router does not know. */
    public long unknownFrames() {
        return mUnknown.sum();
    }

    /** Returns the number of handshakes that failed. */
    public long failedHandshakes() {
        return mFailedHandshakes.sum();
    }

    /** Returns the number of requests that were not replied to in time. */
    public long timedOutRequests() {
        return mTimedOut.sum();
    }

    /** Returns the number of connections that came as far as a proof of the key. */
    public long connections() {
        return mConnections.sum();
    }
}
