package org.hornbeampass.transport.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import java.util.Map;

/**
 * Creates the responses that this VM itself gives to callers.
 *
 * <p>Invariant: a response with a body states its length. Safe for use by any thread.
 */
final class OwnResponses {
    private OwnResponses() {}

    /** Returns the response that asks the caller to send the body. */
    static FullHttpResponse continueRequest() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
    }

    /** Returns a response with a body. */
    static FullHttpResponse of(int status, Map<String, String> headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.forEach(response.headers()::set);
        HttpUtil.setContentLength(response, body.length);
        return response;
    }
}
