package org.hornbeampass.transport.http;

import java.net.URI;
import java.util.Locale;
import java.util.Optional;

/**
 * The place that connections are pooled for.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param tls whether the connection is encrypted
 * @param host the host's name or IP number, in lower case
 * @param port the port
 */
record Target(boolean tls, String host, int port) {
    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;

    /** Returns the target of a URI; empty where it is not an absolute HTTP URI. */
    static Optional<Target> of(URI uri) {
        boolean tls = "https".equalsIgnoreCase(uri.getScheme());
        if (uri.getHost() == null || !(tls || "http".equalsIgnoreCase(uri.getScheme()))) {
            return Optional.empty();
        }
        int standardPort = tls ? HTTPS_PORT : HTTP_PORT;
        int port = uri.getPort() < 0 ? standardPort : uri.getPort();
        return Optional.of(new Target(tls, uri.getHost().toLowerCase(Locale.ROOT), port));
    }

    /** Returns the host without the brackets of an IPv6 number. */
    String address() {
        return host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
    }

    /** Returns the value of the Host header. */
    String hostHeader() {
        return port == (tls ? HTTPS_PORT : HTTP_PORT) ? host : host + ":" + port;
    }
}
