package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * How the end of an HTTP/1.1 answer is marked, as stated in RFC 9112, section 6.3.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum AnswerFraming {
    /** The method or the status excludes a body. */
    NO_BODY("no-body"),
    /** The body ends with an empty chunk. */
    CHUNKED("chunked"),
    /** The length of the body is stated. */
    LENGTH("length"),
    /** The body ends when the sender closes the connection. */
    CONNECTION_CLOSE("connection-close");

    private final String mLogName;

    AnswerFraming(String logName) {
        mLogName = logName;
    }

    /**
     * Returns the framing of an answer.
     *
     * @param method the method of the request
     * @param head the head of the answer
     */
    public static AnswerFraming of(HttpMethod method, HttpResponse head) {
        if (method.equals(HttpMethod.HEAD) || !mayHaveBody(head)) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_CLOSE;
    }

    /** Returns whether the status of an answer allows a body. */
    static boolean mayHaveBody(HttpResponse head) {
        int status = head.status().code();
        return status >= 200 && status != 204 && status != 304;
    }

    /** Returns whether the answer itself shows where it ends. */
    public boolean isExplicit() {
        return this != CONNECTION_CLOSE;
    }

    /** Returns its name in logs and metrics. */
    public String logName() {
        return mLogName;
    }
}
