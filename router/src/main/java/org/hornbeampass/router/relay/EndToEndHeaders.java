package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Separates the end-to-end headers of a message from the hop-by-hop headers of a connection.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private EndToEndHeaders() {}

    /** Returns a copy of the headers without those that concern a single connection. */
    static HttpHeaders of(HttpHeaders headers) {
        HttpHeaders copy =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        List<String> listed = headers.getAll(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> entry : headers) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !isListed(listed, name)) {
                copy.add(entry.getKey(), entry.getValue());
            }
        }
        return copy;
    }

    /** Returns a copy of an answer's head without the headers that concern a single connection. */
    static HttpResponse copyOf(HttpResponse head) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), of(head.headers()));
    }

    private static boolean isListed(List<String> connection, String name) {
        for (String value : connection) {
            for (String token : value.split(",", -1)) {
                if (token.strip().equalsIgnoreCase(name)) {
                    return true;
                }
            }
        }
        return false;
    }
}
