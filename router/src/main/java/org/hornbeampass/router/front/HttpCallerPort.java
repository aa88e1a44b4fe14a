package org.hornbeampass.router.front;

import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.router.flow.CallerPort;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.http.HttpExchange;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers one caller over HTTP and adds the request's id to each answer.
 *
 * <p>Thread-safe if the exchange is.
 */
final class HttpCallerPort implements CallerPort {
    /** The response header with the request's id. */
    static final String REQUEST_ID = "x-request-id";

    private static final byte[] EVENT_START = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final HttpExchange mExchange;
    private final String mRequestId;

    /**
     * Creates the port for one request.
     *
     * @param exchange the request
     * @param requestId its id; an empty string if it has none yet
     */
    HttpCallerPort(HttpExchange exchange, String requestId) {
        mExchange = exchange;
        mRequestId = requestId;
    }

    @Override
    public void fail(Failure failure) {
        ErrorAnswer answer = ErrorAnswer.of(failure);
        mExchange.respond(answer.status(), headers(answer.headers()), answer.body());
    }

    @Override
    public void respond(int status, String contentType, byte[] body) {
        mExchange.respond(status, headers(Map.of("content-type", contentType)), body);
    }

    @Override
    public void startStream() {
        mExchange.startStream(
                200,
                headers(Map.of("content-type", "text/event-stream", "cache-control", "no-cache")));
    }

    @Override
    public boolean sendEvent(byte[] data) {
        byte[] event = new byte[EVENT_START.length + data.length + 2];
        System.arraycopy(EVENT_START, 0, event, 0, EVENT_START.length);
        System.arraycopy(data, 0, event, EVENT_START.length, data.length);
        event[event.length - 2] = '\n';
        event[event.length - 1] = '\n';
        return mExchange.write(event);
    }

    @Override
    public void endStream() {
        mExchange.write(DONE);
        mExchange.end();
    }

    @Override
    public void breakStream(Failure failure) {
        sendEvent(ErrorAnswer.text(failure).getBytes(StandardCharsets.UTF_8));
        mExchange.abort();
    }

    private Map<String, String> headers(Map<String, String> extra) {
        Map<String, String> headers = new HashMap<>(extra);
        if (!mRequestId.isEmpty()) {
            headers.put(REQUEST_ID, mRequestId);
        }
        return headers;
    }
}
