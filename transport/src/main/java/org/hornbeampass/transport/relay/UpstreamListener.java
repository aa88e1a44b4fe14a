package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears of the answer to one request at an upstream: heads until one is taken, then parts, then the
 * end; or of a break at any point, after which nothing follows.
 *
 * <p>Called on the connection's event loop only.
 */
public interface UpstreamListener {
    /**
     * The head of an answer has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param head the head
     * @return whether it answers this request; if not, that answer is skipped
     */
    boolean onHead(long nowMs, HttpResponse head);

    /**
     * A part of the body has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param part the bytes; the listener owns them and releases them
     */
    void onPart(long nowMs, ByteBuf part);

    /** All that had arrived has been given to the listener. */
    void onReadComplete(long nowMs);

    /** The answer is whole. */
    void onEnd(long nowMs);

    /**
     * The connection broke, or carried what is no answer.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for logs
     */
    void onBroken(long nowMs, String reason);

    /** The upstream has caught up with what was written. */
    void onUpstreamWritable(long nowMs);
}
