package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An answer in one piece, held until it is whole, so that a broken one is never begun.
 *
 * <p>Invariant: an answer larger than the bound is passed on as it comes from then on. Confined to
 * one event loop.
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

    /** Begins with an answer. */
    void start(HttpResponse head) {
        reset();
        mHead = Optional.of(head);
    }

    boolean started() {
        return mHead.isPresent();
    }

    /** Returns whether the caller has got a part of it. */
    boolean forwarded() {
        return mForwarded;
    }

    /** Takes a part; returns whether the head was written for it. */
    boolean append(ByteBuf part) {
        mParts.add(part);
        mBytes += part.readableBytes();
        if (mForwarded || mBytes > MAX_BUFFERED_BYTES) {
            forward();
        }
        return mForwarded;
    }

    /** Writes what is held; the end is the caller's to write. */
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

    /** Drops an answer that was not passed on. */
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
