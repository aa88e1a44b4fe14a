package org.hornbeampass.standin.admin;

import org.hornbeampass.transport.http.HttpServerSettings;

import java.net.InetSocketAddress;

/**
 * Where a stand-in listens.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param host an IP number of this machine
 * @param port the port; 0 for any free one
 */
public record Listen(String host, int port) {
    /** Returns the loopback interface at any free port. */
    public static Listen loopback() {
        return new Listen("127.0.0.1", 0);
    }

    /** Returns the server's settings. */
    public HttpServerSettings toHttp() {
        return HttpServerSettings.at(new InetSocketAddress(host, port));
    }
}
