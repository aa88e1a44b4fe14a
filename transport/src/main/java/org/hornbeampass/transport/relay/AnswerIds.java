package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpResponse;

import java.util.Optional;

/**
 * Relates answers to one request by the ids that they bear, and receives those that it did not ask
 * for.
 *
 * <p>Called on the connection's event loop only.
 */
public interface AnswerIds {
    /** Returns the id of the request. */
    String requestId();

    /** Returns the id of the request that an answer states to belong to; empty if it bears none. */
    Optional<String> idOf(HttpResponse head);

    /**
     * An answer has come that the request did not ask for.
     *
     * @param nowMs the present time in milliseconds
     * @param head the head of that answer
     * @param framing how its end is marked
     * @param where where it was found
     */
    void onUnrequested(
            long nowMs, HttpResponse head, AnswerFraming framing, UnrequestedInput where);
}
