package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;

import org.hornbeampass.transport.relay.UpstreamConnection;

/**
 * Sends a request's body on a connection, as far as it has arrived.
 *
 * <p>Invariant: reading from the caller pauses while the connection is not writable, and resumes
 * once it is or the body is complete. Confined to one event loop.
 */
final class BodyTransfer {
    private final RelayCall mCall;
    private final RequestBody mBody;
    private boolean mSent;
    private boolean mPaused;

    BodyTransfer(RelayCall call, RequestBody body) {
        mCall = call;
        mBody = body;
    }

    /** Begins again from the start of the body, for another connection. */
    void restart() {
        mSent = false;
    }

    /** Sends the parts that have arrived and were not sent yet. */
    void send(UpstreamConnection connection) {
        if (mSent) {
            return;
        }
        mSent = mBody.fullyReceived();
        for (ByteBuf part : mBody.takeParts()) {
            connection.sendPart(part);
        }
        if (mSent) {
            connection.sendEnd();
            return;
        }
        connection.flush();
        if (mPaused || !connection.isWritable()) {
            mPaused = false;
            mCall.caller().setReading(connection.isWritable());
        }
    }

    /**
     * Pauses a large body that arrives before there is a connection for it, where held bytes are
     * bounded: a search for an upstream may take as long as the request.
     */
    void awaitConnection() {
        if (mBody.pausesUnsent()) {
            mPaused = true;
            mCall.caller().setReading(false);
        }
    }

    /** Pauses or resumes reading the body from the caller, as the connection takes data or not. */
    void onWritability(UpstreamConnection connection) {
        mCall.caller().setReading(mSent || connection.isWritable());
    }
}
