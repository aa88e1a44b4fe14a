package org.hornbeampass.transport.relay;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.CallerLimits;

import java.util.List;
import java.util.Optional;

/**
 * Checks whether the head of a request can be forwarded safely.
 *
 * <p>Guards against request smuggling: rejects a head from which two programs could derive
 * different body lengths. Stateless; thread-safe.
 */
final class HeadValidator {
    private HeadValidator() {}

    /** Returns the reason to reject a head; empty if the head is valid. */
    static Optional<Failure> validate(HttpRequest head, CallerLimits limits) {
        if (head.method().equals(HttpMethod.CONNECT) || !head.uri().startsWith("/")) {
            return malformed("the request target must be a path that begins with a slash");
        }
        int hosts = head.headers().getAll(HttpHeaderNames.HOST).size();
        if (hosts > 1 || (hosts == 0 && head.protocolVersion().equals(HttpVersion.HTTP_1_1))) {
            return malformed("send exactly one Host header");
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (lengths.size() > 1 || encodings.size() > 1) {
            return malformed("send one Content-Length or one Transfer-Encoding");
        }
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            return malformed("send Content-Length or Transfer-Encoding, not both");
        }
        if (!encodings.isEmpty() && !encodings.get(0).equalsIgnoreCase("chunked")) {
            return malformed("the only supported transfer encoding is chunked");
        }
        if (!lengths.isEmpty() && !lengths.get(0).chars().allMatch(c -> c >= '0' && c <= '9')) {
            return malformed("Content-Length must be a number");
        }
        return HttpUtil.getContentLength(head, 0L) > limits.maxBodyBytes()
                ? Optional.of(bodyTooLarge(limits))
                : Optional.empty();
    }

    /** Returns the failure for a body that is larger than the limit. */
    static Failure bodyTooLarge(CallerLimits limits) {
        return Failure.of(
                ErrorKind.REQUEST_TOO_LARGE,
                "send a body of at most " + limits.maxBodyBytes() + " bytes");
    }

    /** Returns the failure for a head that took too long to arrive. */
    static Failure slowHead() {
        return Failure.of(ErrorKind.REQUEST_TOO_SLOW, "the head took too long to arrive");
    }

    /** Returns the failure for bytes that could not be decoded. */
    static Failure undecodable(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return Failure.of(
                    ErrorKind.HEAD_TOO_LARGE, "the request line or the headers are too long");
        }
        return Failure.of(ErrorKind.MALFORMED_REQUEST, "this is not a valid HTTP/1.1 request");
    }

    private static Optional<Failure> malformed(String message) {
        return Optional.of(Failure.of(ErrorKind.MALFORMED_REQUEST, message));
    }
}
