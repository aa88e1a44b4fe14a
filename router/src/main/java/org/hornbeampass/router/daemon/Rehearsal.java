package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.router.relay.WireFormat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Serves some requests with two routers on loopback, so that a class archive made of this run holds
 * what a router loads: settings, the store's client, membership, peers' messages, requests.
 *
 * <p>Gains processor time at each start, which a VM of less than one core lacks just when callers
 * come back to it. Stateless; safe for use by any thread.
 */
final class Rehearsal {
    private static final int ROUNDS = 40;

    /** How often the first request is asked at most until it is served. */
    private static final int MOST_TRIES = 2_000;

    /** Routers are named by their IP numbers, so that each needs one of its own. */
    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2");

    /** Nothing is read again. */
    private static final String NO_FILE = "rehearsal";

    private Rehearsal() {}

    /**
     * Runs the routers until all requests were answered.
     *
     * @param wire the installation's words
     * @param platforms makes the client of the store
     * @param script the store, and what callers ask
     */
    static void run(WireFormat wire, PlatformFactory platforms, RehearsalEnvironment script)
            throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String host : HOSTS) {
            peers.add(freeAddress(host));
        }
        List<RelayDaemon> routers = new ArrayList<>();
        try {
            for (int i = 0; i < HOSTS.size(); i++) {
                RelayDaemonSettings settings =
                        settings(script, peers.get(i), peers.get(HOSTS.size() - 1 - i));
                RelayDaemon router = RelayDaemon.start(settings, wire, platforms);
                routers.add(router);
                RelayDaemonCommand.reloadOnSighup(Path.of(NO_FILE), "", settings, router);
                RelayDaemonCommand.logStarted(settings);
            }
            ask(script, routers);
        } finally {
            routers.forEach(RelayDaemon::close);
        }
    }

    private static InetSocketAddress freeAddress(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    private static RelayDaemonSettings settings(
            RehearsalEnvironment script, InetSocketAddress own, InetSocketAddress seed)
            throws IOException {
        String text =
                String.format(
                        Locale.ROOT,
                        """
                        // The settings of one router of a rehearsal.
                        {
                          "name": "rehearsal-%1$s", "region": "r", "failure_domain": "d",
                          "listen": {
                            "callers": "%1$s:0", "directory": "%1$s:0", "readiness": "%1$s:0",
                            "peers": "%1$s:%2$d", "metrics": "%1$s:0",
                          },
                          "platform": "%3$s",
                          "cluster_key": "the-key-of-the-rehearsal",
                          "seeds": ["%4$s"],
                          "retries": {"ratio": 0.1, "extra": 10, "window": "10s"},
                          "grace": "1s",
                        }
                        """,
                        own.getAddress().getHostAddress(),
                        own.getPort(),
                        script.platform(),
                        seed.getAddress().getHostAddress() + ":" + seed.getPort());
        Either<Faults, RelayDaemonSettings> read = RelaySettingsFile.read(NO_FILE, text);
        if (read.isLeft()) {
            throw new IOException(String.join("; ", read.getLeft().lines()));
        }
        return read.get();
    }

    private static void ask(RehearsalEnvironment script, List<RelayDaemon> routers)
            throws IOException {
        for (RelayDaemon router : routers) {
            askUntilServed(router, script.requests().get(0));
        }
        for (int i = 0; i < ROUNDS; i++) {
            for (RelayDaemon router : routers) {
                for (String request : script.requests()) {
                    ask(router.callersAddress(), request);
                }
                for (String question : script.addressRequests()) {
                    ask(router.directoryAddress(), question);
                }
            }
        }
    }

    private static void askUntilServed(RelayDaemon router, String request) throws IOException {
        for (int i = 0; i < MOST_TRIES; i++) {
            if (ask(router.callersAddress(), request).startsWith("HTTP/1.1 200")) {
                return;
            }
        }
        throw new IOException("no request was served in " + MOST_TRIES + " tries");
    }

    private static String ask(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
