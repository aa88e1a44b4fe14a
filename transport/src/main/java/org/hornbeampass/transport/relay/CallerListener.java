package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;

/**
 * Hears of one request's body and of its caller.
 *
 * <p>Called on the connection's event loop only.
 */
public interface CallerListener {
    /** Drops the body of a request that was answered at its head. */
    CallerListener IGNORING =
            new CallerListener() {
                @Override
                public void onBody(long nowMs, ByteBuf part) {
                    part.release();
                }

                @Override
                public void onBodyEnd(long nowMs) {}

                @Override
                public void onCallerGone(long nowMs) {}

                @Override
                public void onCallerWritable(long nowMs) {}
            };

    /**
     * A part of the body has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param part the bytes; the listener owns them and releases them
     */
    void onBody(long nowMs, ByteBuf part);

    /** The body is whole. */
    void onBodyEnd(long nowMs);

    /** The caller has closed its connection, or sent what is no request. */
    void onCallerGone(long nowMs);

    /** The caller has caught up with what was written. */
    void onCallerWritable(long nowMs);
}
