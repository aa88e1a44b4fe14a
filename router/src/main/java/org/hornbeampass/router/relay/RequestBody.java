package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request, which is kept whole while it is small, so that it can be sent again.
 *
 * <p>Invariant: a body that was forwarded before it was received whole is not kept. Confined to one
 * event loop.
 */
final class RequestBody {
    /** Bodies up to this size are received whole and kept for another send. */
    static final long MAX_KEPT_BYTES = 256 << 10;

    private final List<ByteBuf> mParts = new ArrayList<>();
    private final BodyHold mHold;
    private long mBytes;
    private boolean mFullyReceived;
    private boolean mForwarded;

    /** Creates an empty body; {@code hold} counts what is kept of it. */
    RequestBody(BodyHold hold) {
        mHold = hold;
    }

    void add(ByteBuf part) {
        mBytes += part.readableBytes();
        mParts.add(part);
        mHold.setBytes(mForwarded ? part.readableBytes() : mBytes);
    }

    void end() {
        mFullyReceived = true;
        mHold.onComplete();
    }

    long bytes() {
        return mBytes;
    }

    boolean fullyReceived() {
        return mFullyReceived;
    }

    /** Returns whether the body can still be sent from its start. */
    boolean replayable() {
        return !mForwarded;
    }

    boolean large() {
        return mBytes > MAX_KEPT_BYTES;
    }

    /** Returns whether no more of the body is to be read before its start can be sent. */
    boolean pausesUnsent() {
        return large() && !mFullyReceived && mHold.isBounded();
    }

    /**
     * Returns the parts to send now. The parts of a large body are handed over; those of a small
     * one are kept.
     */
    List<ByteBuf> takeParts() {
        if (large() || mForwarded) {
            mForwarded = true;
            List<ByteBuf> parts = List.copyOf(mParts);
            mParts.clear();
            mHold.setBytes(0);
            return parts;
        }
        return mParts.stream().map(ByteBuf::retainedDuplicate).toList();
    }

    /** Returns the parts that are still kept, for reading. */
    List<ByteBuffer> keptParts() {
        return mParts.stream().map(ByteBuf::nioBuffer).toList();
    }

    void release() {
        mParts.forEach(ByteBuf::release);
        mParts.clear();
        mHold.setBytes(0);
    }
}
