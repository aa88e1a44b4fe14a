package org.hornbeampass.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import java.util.Map;

/**
 * A part of an answer on its way from the producer's thread to the connection's event loop.
 *
 * <p>Immutable, but for the bytes, which nobody changes; safe for use by any thread.
 */
sealed interface AnswerPart {
    /** The exchange that it answers. */
    ServerExchange exchange();

    /** Whether nothing follows it. */
    boolean last();

    /** How many bytes of the answer's body it holds. */
    default int size() {
        return 0;
    }

    /** Whether the handler wants the connection closed after the answer. */
    default boolean closes() {
        return false;
    }

    /**
     * Returns what the codec is given.
     *
     * @param keepAlive whether the connection goes on after the answer
     * @param chunked whether the caller understands chunked transfer
     * @throws IllegalArgumentException if a header can't be sent
     */
    HttpObject encode(boolean keepAlive, boolean chunked);

    /** A whole answer. */
    record Whole(ServerExchange exchange, int status, Map<String, String> headers, byte[] body)
            implements AnswerPart {
        @Override
        public int size() {
            return body.length;
        }

        @Override
        public boolean closes() {
            return saysClose(headers);
        }

        @Override
        public boolean last() {
            return true;
        }

        @Override
        public HttpObject encode(boolean keepAlive, boolean chunked) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            setHeaders(response, headers, keepAlive);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            return response;
        }
    }

    /** The head of a streamed answer. */
    record Head(ServerExchange exchange, int status, Map<String, String> headers)
            implements AnswerPart {
        @Override
        public boolean closes() {
            return saysClose(headers);
        }

        @Override
        public boolean last() {
            return false;
        }

        @Override
        public HttpObject encode(boolean keepAlive, boolean chunked) {
            HttpResponse response =
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            setHeaders(response, headers, keepAlive && chunked);
            if (chunked) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            return response;
        }
    }

    /** Some bytes of a streamed answer. */
    record Chunk(ServerExchange exchange, byte[] bytes) implements AnswerPart {
        @Override
        public int size() {
            return bytes.length;
        }

        @Override
        public boolean last() {
            return false;
        }

        @Override
        public HttpObject encode(boolean keepAlive, boolean chunked) {
            return new DefaultHttpContent(Unpooled.wrappedBuffer(bytes));
        }
    }

    /** The proper end of a streamed answer. */
    record End(ServerExchange exchange) implements AnswerPart {
        @Override
        public boolean last() {
            return true;
        }

        @Override
        public HttpObject encode(boolean keepAlive, boolean chunked) {
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
    }

    /** The breaking off of a streamed answer. */
    record Abort(ServerExchange exchange) implements AnswerPart {
        @Override
        public boolean last() {
            return true;
        }

        @Override
        public HttpObject encode(boolean keepAlive, boolean chunked) {
            throw new IllegalStateException("a broken answer has no end to encode");
        }
    }

    private static boolean saysClose(Map<String, String> headers) {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }

    private static void setHeaders(
            HttpResponse response, Map<String, String> headers, boolean keepAlive) {
        HttpHeaders target = response.headers();
        headers.forEach(target::set);
        target.remove(HttpHeaderNames.CONTENT_LENGTH);
        target.remove(HttpHeaderNames.TRANSFER_ENCODING);
        target.remove(HttpHeaderNames.CONNECTION);
        if (!keepAlive) {
            target.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
