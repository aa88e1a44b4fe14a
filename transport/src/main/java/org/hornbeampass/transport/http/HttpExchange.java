package org.hornbeampass.transport.http;

import java.util.Map;
import java.util.Optional;

/**
 * One request with the means to answer it, whole or as a stream.
 *
 * <p>Thread-safe: the answering methods may be called on any thread, and their effects reach the
 * caller in the order of the calls. Once the caller is gone they have no effect.
 */
public interface HttpExchange {
    /** Returns the method in upper case, such as {@code POST}. */
    String method();

    /** Returns the decoded path without the query, such as {@code /v1/models}. */
    String path();

    /** Returns the path and the query as they came, still encoded. */
    default String rawTarget() {
        return path();
    }

    /** Returns the first value of a query parameter. */
    Optional<String> query(String name);

    /** Returns the first value of a header; names are compared without regard to case. */
    Optional<String> header(String name);

    /** Returns the whole body; empty where there is none. Callers do not change it. */
    byte[] body();

    /** Returns the caller's address as text, for logs. */
    String remoteAddress();

    /**
     * Answers whole.
     *
     * @param status the HTTP status
     * @param headers further headers; length and connection headers are set by the server
     * @param body the body, which is not changed afterwards
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Starts a streamed answer with chunked transfer.
     *
     * @param status the HTTP status
     * @param headers further headers
     */
    void startStream(int status, Map<String, String> headers);

    /**
     * Sends a part of a streamed answer.
     *
     * @param chunk the bytes, which are not changed afterwards
     * @return whether the caller keeps up; where not, the producer should pause until {@link
     *     #onWritable}
     */
    boolean write(byte[] chunk);

    /** Ends a streamed answer properly, so that the caller can tell that it is whole. */
    void end();

    /**
     * Breaks the answer off by closing the connection, before its start or within a stream, so that
     * the caller can tell that it is not whole.
     */
    void abort();

    /** Runs an action each time a slow caller has caught up. */
    void onWritable(Runnable action);

    /** Runs an action once, if the caller goes away before the answer has ended. */
    void onCallerGone(Runnable action);
}
