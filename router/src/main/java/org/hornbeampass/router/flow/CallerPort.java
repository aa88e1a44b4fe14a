package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

/**
 * Gives one request's flow access to the caller of the request.
 *
 * <p>Once the caller has disconnected, the methods have no effect.
 */
public interface CallerPort {
    /**
     * Answers with an error. Called only if nothing has been sent yet; nothing is sent after it.
     */
    void fail(Failure failure);

    /** Sends a complete answer that is not streamed. */
    void respond(int status, String contentType, byte[] body);

    /** Starts a stream of events. */
    void startStream();

    /**
     * Sends one event of the stream.
     *
     * @param data the event's data
     * @return false if the caller reads too slowly and the upstream should be paused
     */
    boolean sendEvent(byte[] data);

    /** Sends the closing event and ends the stream normally. */
    void endStream();

    /** Sends the failure as an event and aborts the stream. */
    void breakStream(Failure failure);
}
