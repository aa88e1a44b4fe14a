package org.hornbeampass.transport.http;

import org.hornbeampass.transport.tls.TlsFiles;

import java.util.Optional;

/**
 * The bounds of an HTTP client.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param maxConnections the largest number of open connections for each target
 * @param maxWaiting the largest number of requests for each target that wait for a connection
 * @param maxIdleMs how long a connection is kept without use, in milliseconds; less than the
 *     servers' own idle timeout, so that no request meets a connection that is being closed
 * @param maxHeadBytes the largest status line, and the largest sum of headers, in bytes
 * @param tls the PEM files; empty for the Java runtime's own trust
 */
public record HttpClientSettings(
        int maxConnections,
        int maxWaiting,
        long maxIdleMs,
        int maxHeadBytes,
        Optional<TlsFiles> tls) {
    /** Bounds that suit a router's calls to its upstreams. */
    public static final HttpClientSettings STANDARD =
            new HttpClientSettings(256, 1024, 15_000, 32 << 10, Optional.empty());

    /** Returns these settings with other bounds on connections and waiting requests. */
    public HttpClientSettings withPool(int connections, int waiting) {
        return new HttpClientSettings(connections, waiting, maxIdleMs, maxHeadBytes, tls);
    }

    /** Returns these settings with PEM files. */
    public HttpClientSettings withTls(TlsFiles files) {
        return new HttpClientSettings(
                maxConnections, maxWaiting, maxIdleMs, maxHeadBytes, Optional.of(files));
    }
}
