package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;

import org.hornbeampass.state.Failure;

/**
 * Receives the body of one request and events of its caller's connection.
 *
 * <p>Called on the connection's event loop only.
 */
public interface CallerListener {
    /** Discards the body of a request that was answered before its body was received. */
    CallerListener IGNORING =
            new CallerListener() {
                @Override
                public void onBody(long nowMs, ByteBuf part) {
                    part.release();
                }

                @Override
                public void onBodyEnd(long nowMs) {}

                @Override
                public void onBodyInvalid(long nowMs, Failure failure) {}

                @Override
                public void onCallerGone(long nowMs) {}

                @Override
                public void onCallerWritable(long nowMs) {}

                @Override
                public void onExit(long nowMs) {}
            };

    /**
     * A part of the body has arrived.
     *
     * @param nowMs the present time in milliseconds
     * @param part the bytes; the listener owns them and releases them
     */
    void onBody(long nowMs, ByteBuf part);

    /** The body has been received completely. */
    void onBodyEnd(long nowMs);

    /**
     * What follows of the body can't be read; the listener answers, unless it has begun to.
     *
     * @param nowMs the present time in milliseconds
     * @param failure why the body is invalid
     */
    void onBodyInvalid(long nowMs, Failure failure);

    /** The caller has closed its connection. */
    void onCallerGone(long nowMs);

    /** The caller's connection takes data again, or must not be given more for the present. */
    void onCallerWritable(long nowMs);

    /** The process is about to exit: an answer that is given now can still be sent. */
    void onExit(long nowMs);
}
