package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decides whether a caller's connection is kept after the present answer.
 *
 * <p>Invariant: it is kept only if what is still to be received of the request is small enough to
 * be read and discarded. Confined to one event loop.
 */
final class ConnectionPersistence {
    /**
     * The largest request body of which an unread rest is read and discarded after the answer, so
     * that the connection can be kept.
     */
    private static final long MAX_DISCARDED_BYTES = 128 << 10;

    private boolean mKeepAlive = true;
    private boolean mHttp10;
    private boolean mBodyComplete = true;
    private boolean mBodyDiscardable;

    /** Begins a request. */
    void onHead(HttpRequest head) {
        mHttp10 = !head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        mKeepAlive = HttpUtil.isKeepAlive(head) && !mHttp10;
        mBodyComplete = false;
        mBodyDiscardable = HttpUtil.getContentLength(head, Long.MAX_VALUE) <= MAX_DISCARDED_BYTES;
    }

    /** Records that no more of the request can be read, since its head is not accepted. */
    void onInvalidHead() {
        mBodyComplete = false;
        mKeepAlive = false;
    }

    void onBodyEnd() {
        mBodyComplete = true;
    }

    void closeAfterAnswer() {
        mKeepAlive = false;
    }

    /** Returns whether only the close of the connection can end an answer without a length. */
    boolean isHttp10() {
        return mHttp10;
    }

    boolean isBodyComplete() {
        return mBodyComplete;
    }

    boolean isKept() {
        return mKeepAlive && (mBodyComplete || mBodyDiscardable);
    }
}
