package org.hornbeampass.transport.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;

import java.util.Optional;

import javax.net.ssl.SSLException;

/**
 * Creates TLS contexts from PEM files.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class TlsContexts {
    private TlsContexts() {}

    /**
     * Returns the context of a listener; it requires client certificates if the files name trusted
     * certificates.
     *
     * @throws IllegalArgumentException if a file is missing or invalid
     */
    public static SslContext forListener(TlsFiles files) {
        try {
            SslContextBuilder builder =
                    SslContextBuilder.forServer(
                            files.certificate().orElseThrow(() -> missing("certificate")).toFile(),
                            files.key().orElseThrow(() -> missing("key")).toFile());
            if (files.trusted().isPresent()) {
                builder.trustManager(files.trusted().get().toFile());
                builder.clientAuth(ClientAuth.REQUIRE);
            }
            return builder.build();
        } catch (SSLException e) {
            throw new IllegalArgumentException("TLS files are invalid: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the context of a client, which checks the server's name.
     *
     * @param files this client's files; if empty, the client trusts the Java runtime's default
     *     certificates
     * @throws IllegalArgumentException if a file is missing or invalid
     */
    public static SslContext forClient(Optional<TlsFiles> files) {
        try {
            SslContextBuilder builder = SslContextBuilder.forClient();
            if (files.isPresent() && files.get().trusted().isPresent()) {
                builder.trustManager(files.get().trusted().get().toFile());
            }
            if (files.isPresent() && files.get().certificate().isPresent()) {
                builder.keyManager(
                        files.get().certificate().get().toFile(),
                        files.get().key().orElseThrow(() -> missing("key")).toFile());
            }
            return builder.build();
        } catch (SSLException e) {
            throw new IllegalArgumentException("TLS files are invalid: " + e.getMessage(), e);
        }
    }

    private static IllegalArgumentException missing(String file) {
        return new IllegalArgumentException("TLS needs a PEM file for the " + file);
    }
}
