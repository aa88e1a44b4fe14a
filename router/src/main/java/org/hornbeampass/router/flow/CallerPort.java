package org.hornbeampass.router.flow;

import org.hornbeampass.state.Failure;

/**
 * The caller of one request, as its flow sees it.
 *
 * <p>Once the caller is gone the methods have no effect.
 */
public interface CallerPort {
    /** Answers with an error, where nothing has been sent; afterwards nothing more is sent. */
    void fail(Failure failure);

    /** Answers whole. */
    void respond(int status, String contentType, byte[] body);

    /** Starts a stream of events. */
    void startStream();

    /**
     * Sends one event.
     *
     * @param data its data
     * @return whether the caller keeps up
     */
    boolean sendEvent(byte[] data);

    /** Sends the closing event and ends the stream properly. */
    void endStream();

    /** Sends the failure as an event and breaks the stream off. */
    void breakStream(Failure failure);
}
