package org.hornbeampass.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A server on loopback that gives the answers that a test has put in, in their order for each
 * method and path; thread-safe.
 */
final class FakeServer implements AutoCloseable {
    private static final int NO_BODY = -1;

    private final HttpServer mServer;
    private final Map<String, Deque<Reply>> mReplies = new HashMap<>();
    private final List<String> mRequests = Collections.synchronizedList(new ArrayList<>());

    /** An answer; status 0 stands for an answer that is lost. */
    private record Reply(int status, Map<String, String> headers, byte[] body) {}

    FakeServer() {
        try {
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            mServer = HttpServer.create(any, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String url() {
        return "http://127.0.0.1:" + mServer.getAddress().getPort();
    }

    FakeServer answer(String request, Object value) {
        return put(request, new Reply(200, Map.of(), AdminJson.encode(value)));
    }

    FakeServer answerAged(String request, Object value, long seconds) {
        return put(
                request,
                new Reply(200, Map.of("Age", Long.toString(seconds)), AdminJson.encode(value)));
    }

    FakeServer refuse(String request, ErrorKind kind, String message) {
        ErrorAnswer error = ErrorAnswer.of(Failure.of(kind, message));
        return put(request, new Reply(error.status(), Map.of(), error.body()));
    }

    FakeServer raw(String request, int status, String body) {
        return put(request, new Reply(status, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
    }

    FakeServer lose(String request) {
        return put(request, new Reply(0, Map.of(), new byte[0]));
    }

    /** Returns the requests so far: method, path, conditional header and body. */
    List<String> requests() {
        return List.copyOf(mRequests);
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private synchronized FakeServer put(String request, Reply reply) {
        mReplies.computeIfAbsent(request, r -> new ArrayDeque<>()).addLast(reply);
        return this;
    }

    private synchronized Reply next(String request) {
        Deque<Reply> replies = mReplies.get(request);
        if (replies == null) {
            return new Reply(
                    418, Map.of(), ("no answer for " + request).getBytes(StandardCharsets.UTF_8));
        }
        return replies.size() > 1 ? replies.removeFirst() : replies.peekFirst();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String match = exchange.getRequestHeaders().getFirst("If-Match");
        String none = exchange.getRequestHeaders().getFirst("If-None-Match");
        mRequests.add(
                request
                        + (match == null ? "" : " If-Match:" + match)
                        + (none == null ? "" : " If-None-Match:" + none)
                        + (body.isEmpty() ? "" : " " + body));
        Reply reply = next(request);
        if (reply.status() != 0) {
            reply.headers().forEach(exchange.getResponseHeaders()::set);
            int length = reply.body().length;
            exchange.sendResponseHeaders(reply.status(), length == 0 ? NO_BODY : length);
            exchange.getResponseBody().write(reply.body());
        }
        exchange.close();
    }
}
