package org.hornbeampass.transport.http;

import org.hornbeampass.transport.tls.TlsFiles;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where an HTTP server listens, and the bounds that it holds its callers to.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param address the address to listen on; port 0 for any free one
 * @param limits the bounds on sizes and counts
 * @param timeouts the bounds on time
 * @param tls the PEM files; empty for plain HTTP
 */
public record HttpServerSettings(
        InetSocketAddress address, Limits limits, Timeouts timeouts, Optional<TlsFiles> tls) {
    /**
     * Bounds on what a caller may send and hold.
     *
     * @param maxHeadBytes the largest request line, and the largest sum of headers, in bytes
     * @param maxHeaders the largest number of headers
     * @param maxBodyBytes the largest body in bytes
     * @param maxConnections the largest number of open connections
     */
    public record Limits(int maxHeadBytes, int maxHeaders, int maxBodyBytes, int maxConnections) {
        /** Bounds that suit a router's own listener. */
        public static final Limits STANDARD = new Limits(16 << 10, 100, 8 << 20, 20_000);
    }

    /**
     * Bounds on how slow a caller may be, in milliseconds.
     *
     * @param headMs from the first byte of a head to its end
     * @param bodyMs from the end of the head to the end of the body
     * @param idleMs between an answer and the next request
     * @param stallMs without taking a byte of an answer that waits for it
     */
    public record Timeouts(long headMs, long bodyMs, long idleMs, long stallMs) {
        /** Bounds that suit a router's own listener. */
        public static final Timeouts STANDARD = new Timeouts(10_000, 30_000, 75_000, 60_000);
    }

    /** Returns the standard bounds at an address, without TLS. */
    public static HttpServerSettings at(InetSocketAddress address) {
        return new HttpServerSettings(
                address, Limits.STANDARD, Timeouts.STANDARD, Optional.empty());
    }

    /** Returns the standard bounds on the loopback interface, at any free port. */
    public static HttpServerSettings loopback() {
        return at(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Returns these settings with other limits. */
    public HttpServerSettings withLimits(Limits other) {
        return new HttpServerSettings(address, other, timeouts, tls);
    }

    /** Returns these settings with other timeouts. */
    public HttpServerSettings withTimeouts(Timeouts other) {
        return new HttpServerSettings(address, limits, other, tls);
    }

    /** Returns these settings with TLS. */
    public HttpServerSettings withTls(TlsFiles files) {
        return new HttpServerSettings(address, limits, timeouts, Optional.of(files));
    }
}
