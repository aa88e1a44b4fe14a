package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer of an upstream to one request: heads until one is accepted, then the parts of
 * the body, then the end. The connection may break at any point, after which no further call
 * follows.
 *
 * <p>Called on the connection's event loop only.
 */
public interface UpstreamListener {
    /**
     * The head of an answer has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param head the head
     * @return whether the head belongs to the answer to this request; if not, it is skipped
     */
    boolean onHead(long nowMs, HttpResponse head);

    /**
     * A part of the body has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param part the bytes; the listener owns them and releases them
     */
    void onPart(long nowMs, ByteBuf part);

    /** Everything that was read from the socket so far has been passed to the listener. */
    void onReadComplete(long nowMs);

    /** The answer has been received completely. */
    void onEnd(long nowMs);

    /**
     * The connection broke or carried an invalid HTTP response.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for logs
     */
    void onBroken(long nowMs, String reason);

    /**
     * The connection was closed by this VM, since the upstream read the request too slowly while
     * the VM held too much.
     *
     * @param nowMs the present time in milliseconds
     * @param reason what happened, for logs
     */
    default void onClosedSlow(long nowMs, String reason) {
        onBroken(nowMs, reason);
    }

    /** The connection to the upstream takes data again, or must not be given more for now. */
    void onUpstreamWritable(long nowMs);
}
