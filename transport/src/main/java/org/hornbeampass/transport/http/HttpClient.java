package org.hornbeampass.transport.http;

import java.net.URI;
import java.util.Map;

/**
 * An HTTP/1.1 client with pooled connections.
 *
 * <p>Thread-safe. A request is never sent twice by the client itself.
 */
public interface HttpClient extends AutoCloseable {
    /**
     * Sends a request.
     *
     * @param request the request
     * @param listener told of the answer, on an event loop
     * @return the means to cancel
     */
    Call send(Request request, Listener listener);

    @Override
    void close();

    /**
     * A request to send.
     *
     * @param method the method in upper case
     * @param uri the absolute target, {@code http} or {@code https}
     * @param headers headers besides host and length
     * @param body the body; empty where there is none; not changed afterwards
     * @param connectTimeoutMs how long a connection may take, in milliseconds
     * @param idleTimeoutMs how long the answer may pause, in milliseconds
     */
    record Request(
            String method,
            URI uri,
            Map<String, String> headers,
            byte[] body,
            long connectTimeoutMs,
            long idleTimeoutMs) {
        /** Copies the headers. */
        public Request {
            headers = Map.copyOf(headers);
        }
    }

    /** A request on its way. */
    interface Call {
        /** Closes the call's connection; the listener hears nothing more. */
        void cancel();

        /** Stops reading the answer until {@link #resume}. */
        void pause();

        /** Goes on reading the answer. */
        void resume();
    }

    /**
     * Told of one answer: {@code onHead}, then any number of {@code onData}, then {@code onEnd}; or
     * {@code onFailure} at any point, after which nothing follows.
     */
    interface Listener {
        /** The head has arrived. Header names are in lower case. */
        void onHead(int status, Map<String, String> headers);

        /** A part of the body has arrived. */
        void onData(byte[] chunk);

        /** The answer has ended properly. */
        void onEnd();

        /**
         * The answer will not end properly.
         *
         * @param sent whether any byte of the request may have been sent
         * @param reason what happened, for logs
         */
        void onFailure(boolean sent, String reason);
    }
}
