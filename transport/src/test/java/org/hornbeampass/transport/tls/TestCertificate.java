package org.hornbeampass.transport.tls;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Optional;

/** The self-signed certificate for 127.0.0.1 that tests use. */
public final class TestCertificate {
    private TestCertificate() {}

    /** Returns the files of a listener or client that presents the certificate and trusts it. */
    public static TlsFiles mutual() {
        return new TlsFiles(
                Optional.of(file("certificate.pem")),
                Optional.of(file("key.pem")),
                Optional.of(file("certificate.pem")));
    }

    /** Returns the files of a listener that requests no client certificate. */
    public static TlsFiles listener() {
        return TlsFiles.listener(file("certificate.pem"), file("key.pem"));
    }

    /** Returns the files of a client that trusts the certificate. */
    public static TlsFiles client() {
        return TlsFiles.client(file("certificate.pem"));
    }

    private static Path file(String name) {
        try {
            return Path.of(TestCertificate.class.getResource("/tls/" + name).toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
