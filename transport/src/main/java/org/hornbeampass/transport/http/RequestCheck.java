package org.hornbeampass.transport.http;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * Decides whether a request's head is taken.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class RequestCheck {
    private RequestCheck() {}

    /** Returns what is wrong with a head, if anything. */
    static Optional<Failure> head(HttpRequest request, HttpServerSettings.Limits limits) {
        HttpVersion version = request.protocolVersion();
        if (version.majorVersion() != 1) {
            return malformed("the protocol must be HTTP/1.1 or HTTP/1.0");
        }
        if (request.method().equals(HttpMethod.CONNECT)) {
            return Optional.of(
                    Failure.of(ErrorKind.METHOD_NOT_ALLOWED, "CONNECT is not served here"));
        }
        if (request.headers().size() > limits.maxHeaders()) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.REQUEST_TOO_LARGE,
                            "send at most " + limits.maxHeaders() + " headers"));
        }
        if (version.equals(HttpVersion.HTTP_1_1)
                && request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return malformed("send exactly one Host header");
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            return malformed("only \"Expect: 100-continue\" is understood");
        }
        return length(request, limits.maxBodyBytes());
    }

    /** Returns what is wrong with input that the codec could not decode. */
    static Failure undecodable(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return Failure.of(
                    ErrorKind.REQUEST_TOO_LARGE, "the request line or the headers are too long");
        }
        return Failure.of(ErrorKind.MALFORMED_REQUEST, "this is not an HTTP/1.1 request");
    }

    /** Returns the failure of a body beyond its bound. */
    static Failure bodyTooLarge(int maxBytes) {
        return Failure.of(
                ErrorKind.REQUEST_TOO_LARGE, "send a body of at most " + maxBytes + " bytes");
    }

    private static Optional<Failure> length(HttpRequest request, int maxBytes) {
        long announced;
        try {
            announced = HttpUtil.getContentLength(request, 0L);
        } catch (NumberFormatException e) {
            return malformed("Content-Length must be a number");
        }
        if (announced < 0) {
            return malformed("Content-Length must not be negative");
        }
        return announced > maxBytes ? Optional.of(bodyTooLarge(maxBytes)) : Optional.empty();
    }

    private static Optional<Failure> malformed(String message) {
        return Optional.of(Failure.of(ErrorKind.MALFORMED_REQUEST, message));
    }
}
