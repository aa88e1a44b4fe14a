package org.hornbeampass.cli;

import org.hornbeampass.cli.client.AdminCaller;
import org.hornbeampass.cli.client.HttpAdminCaller;

import picocli.CommandLine;
import picocli.CommandLine.ParameterException;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/**
 * Decides which servers are called with which key, from options first and environment next.
 *
 * <p>Invariant: the key appears in no message. For use by one thread.
 */
final class Connection {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    private final Surroundings mSurroundings;
    private final CommandLine mLine;

    Connection(Surroundings surroundings, CommandLine line) {
        mSurroundings = surroundings;
        mLine = line;
    }

    AdminCaller open(List<String> servers, Path keyFile, Path caFile, Duration timeout) {
        HttpClient.Builder client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT);
        Optional.ofNullable(caFile)
                .or(() -> environment("HORNBEAM_CA_FILE").map(Path::of))
                .ifPresent(file -> client.sslContext(trusting(file)));
        return new HttpAdminCaller(
                client.build(),
                servers(servers),
                key(keyFile),
                timeout,
                mSurroundings.ticker(),
                note -> mLine.getErr().println("hornbeamctl: " + note));
    }

    private List<String> servers(List<String> options) {
        List<String> named =
                options.isEmpty()
                        ? environment("HORNBEAM_SERVER")
                                .map(s -> Arrays.asList(s.split(",", -1)))
                                .orElse(List.of())
                        : options;
        if (named.isEmpty()) {
            throw new ParameterException(
                    mLine, "no server: give --server URL, or set HORNBEAM_SERVER");
        }
        return named.stream().map(s -> server(s.trim())).toList();
    }

    private String server(String text) {
        String full = text.contains("://") ? text : "http://" + text;
        String plain = full.endsWith("/") ? full.substring(0, full.length() - 1) : full;
        try {
            URI uri = URI.create(plain);
            boolean scheme = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (scheme && uri.getHost() != null && uri.getRawPath().isEmpty()) {
                return plain;
            }
        } catch (IllegalArgumentException e) {
            throw notAServer(text, e);
        }
        throw notAServer(text, null);
    }

    private ParameterException notAServer(String text, Exception cause) {
        return new ParameterException(
                mLine,
                "server \"" + text + "\" is not an address; give http://HOST:PORT or HOST:PORT",
                cause);
    }

    private String key(Path option) {
        Optional<Path> file =
                Optional.ofNullable(option)
                        .or(() -> environment("HORNBEAM_KEY_FILE").map(Path::of));
        if (file.isEmpty()) {
            return environment("HORNBEAM_KEY")
                    .map(k -> headerSafe(k, "HORNBEAM_KEY"))
                    .orElseThrow(
                            () ->
                                    new ParameterException(
                                            mLine,
                                            "no key: give --key-file FILE, or set"
                                                    + " HORNBEAM_KEY_FILE or HORNBEAM_KEY"));
        }
        try {
            return headerSafe(Files.readString(file.get()), file.get().toString());
        } catch (IOException e) {
            throw new ParameterException(
                    mLine, "key file " + file.get() + " can't be read: " + e, e);
        }
    }

    private String headerSafe(String text, String source) {
        String key = text.strip();
        boolean safe = !key.isEmpty() && key.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!safe) {
            throw new ParameterException(
                    mLine, source + " does not hold a key: it must be one line of printable ASCII");
        }
        return key;
    }

    private SSLContext trusting(Path file) {
        try (InputStream in = Files.newInputStream(file)) {
            KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
            store.load(null, null);
            int number = 0;
            for (Certificate each :
                    CertificateFactory.getInstance("X.509").generateCertificates(in)) {
                store.setCertificateEntry("ca" + number++, each);
            }
            TrustManagerFactory trust =
                    TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(store);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, trust.getTrustManagers(), null);
            return context;
        } catch (IOException | GeneralSecurityException e) {
            throw new ParameterException(
                    mLine, "CA file " + file + " holds no PEM certificates: " + e, e);
        }
    }

    private Optional<String> environment(String name) {
        return Optional.ofNullable(mSurroundings.environment().get(name)).filter(v -> !v.isBlank());
    }
}
