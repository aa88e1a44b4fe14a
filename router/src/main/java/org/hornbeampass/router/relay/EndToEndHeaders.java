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
 * <p>Invariant: the headers that frame or describe the body, and those of the installation, are
 * kept whatever a {@code Connection} header lists: without them, the next hop would read another
 * message. Stateless; safe for use by any thread.
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

    private static final String HOST = "host";
    private static final String ABOUT_BODY = "content-";

    private EndToEndHeaders() {}

    /**
     * Returns a copy of the headers without those that concern a single connection.
     *
     * @param wire knows the headers of the installation
     */
    static HttpHeaders of(HttpHeaders headers, WireFormat wire) {
        HttpHeaders copy =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        List<String> listed = headers.getAll(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> entry : headers) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name)
                    && (isForAllHops(name, wire) || !isListed(listed, name))) {
                copy.add(entry.getKey(), entry.getValue());
            }
        }
        return copy;
    }

    /** Returns a copy of an answer's head without the headers that concern a single connection. */
    static HttpResponse copyOf(HttpResponse head, WireFormat wire) {
        return new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, head.status(), of(head.headers(), wire));
    }

    private static boolean isForAllHops(String name, WireFormat wire) {
        return name.startsWith(ABOUT_BODY) || name.equals(HOST) || wire.isForAllHops(name);
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
