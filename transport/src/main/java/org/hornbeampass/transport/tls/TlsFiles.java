package org.hornbeampass.transport.tls;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The PEM files of one listener or client.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param certificate this side's certificate chain; required for a listener
 * @param key its private key in PKCS#8 without a password; required with a certificate
 * @param trusted the certificates that the other side's must lead to; where empty, a client trusts
 *     the Java runtime's own and a listener asks for none
 */
public record TlsFiles(Optional<Path> certificate, Optional<Path> key, Optional<Path> trusted) {
    /** Returns the files of a listener that asks callers for no certificate. */
    public static TlsFiles listener(Path certificate, Path key) {
        return new TlsFiles(Optional.of(certificate), Optional.of(key), Optional.empty());
    }

    /** Returns the files of a client that shows no certificate. */
    public static TlsFiles client(Path trusted) {
        return new TlsFiles(Optional.empty(), Optional.empty(), Optional.of(trusted));
    }
}
