package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An answer that is buffered until it is whole, so that the caller never receives the start of an
 * answer that breaks.
 *
 * <p>Invariant: once an answer exceeds {@link #MAX_BUFFERED_BYTES}, it is forwarded as it arrives.
 * Confined to one event loop.
 */
final class BufferedAnswer {
    private static final long MAX_BUFFERED_BYTES = 64 << 10;

    private final RelayCall mCall;
    private final List<ByteBuf> mParts = new ArrayList<>();
    private Optional<HttpResponse> mHead = Optional.empty();
    private long mBytes;
    private boolean mForwarded;

    BufferedAnswer(RelayCall call) {
        mCall = call;
    }

    /** Starts an answer; an earlier one is discarded. */
    void start(HttpResponse head) {
        reset();
        mHead = Optional.of(head);
    }

    boolean started() {
        return mHead.isPresent();
    }

    /** Returns whether a part of the answer was sent to the caller. */
    boolean forwarded() {
        return mForwarded;
    }

    /** Adds a part of the answer; returns whether the head has been written. */
    boolean append(ByteBuf part) {
        mParts.add(part);
        mBytes += part.readableBytes();
        if (mForwarded || mBytes > MAX_BUFFERED_BYTES) {
            forward();
        }
        return mForwarded;
    }

    /** Returns how many bytes are buffered. */
    long bufferedBytes() {
        return mForwarded ? 0 : mBytes;
    }

    /** Writes what is buffered; the user of this class must then end the answer. */
    void end() {
        forward();
    }

    private void forward() {
        if (!mForwarded) {
            mForwarded = true;
            mCall.sendHead(mHead.orElseThrow());
        }
        mParts.forEach(p -> mCall.caller().sendPart(new DefaultHttpContent(p)));
        mParts.clear();
    }

    /** Discards an answer that was not forwarded. */
    void reset() {
        release();
        mHead = Optional.empty();
        mBytes = 0;
    }

    void release() {
        mParts.forEach(ByteBuf::release);
        mParts.clear();
    }
}
