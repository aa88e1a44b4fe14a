package org.hornbeampass.transport.tls;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The PEM files of one listener or client.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param certificate the own certificate chain; required for a listener
 * @param key the certificate's private key in PKCS#8 without a password; required with a
 *     certificate
 * @param trusted the certificates that must have signed the peer's certificate chain; if empty, a
 *     client trusts the Java runtime's default certificates and a listener requests no certificate
 */
public record TlsFiles(Optional<Path> certificate, Optional<Path> key, Optional<Path> trusted) {
    /** Returns the files of a listener that requests no client certificate. */
    public static TlsFiles listener(Path certificate, Path key) {
        return new TlsFiles(Optional.of(certificate), Optional.of(key), Optional.empty());
    }

    /** Returns the files of a client that presents no certificate. */
    public static TlsFiles client(Path trusted) {
        return new TlsFiles(Optional.empty(), Optional.empty(), Optional.of(trusted));
    }
}
