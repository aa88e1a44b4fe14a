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
 * Serves some requests with two routers on loopback, so that a class-data archive created from this
 * run contains the classes that a router loads: for settings, the store's client, membership, peer
 * messages and requests.
 *
 * <p>The archive saves processor time at each start, which is scarce on a VM of less than one core
 * just when callers return to it. Stateless; safe for use by any thread.
 */
final class Rehearsal {
    private static final int ROUNDS = 40;

    /** Maximum number of attempts until the first request is served. */
    private static final int MAX_TRIES = 2_000;

    /** Routers are named by their IP addresses, so each needs a different one. */
    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2");

    /** The name of the settings in messages; no such file exists or is read. */
    private static final String SETTINGS_NAME = "rehearsal";

    private Rehearsal() {}

    /**
     * Runs the routers until all requests are answered.
     *
     * @param wire the installation's wire format
     * @param platforms creates the client of the store
     * @param environment the store, and the requests of callers
     */
    static void run(WireFormat wire, PlatformFactory platforms, RehearsalEnvironment environment)
            throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String host : HOSTS) {
            peers.add(freeAddress(host));
        }
        List<RelayDaemon> routers = new ArrayList<>();
        try {
            for (int i = 0; i < HOSTS.size(); i++) {
                RelayDaemonSettings settings =
                        settings(environment, peers.get(i), peers.get(HOSTS.size() - 1 - i));
                RelayDaemon router = RelayDaemon.start(settings, wire, platforms);
                routers.add(router);
                RelayDaemonCommand.reloadOnSighup(Path.of(SETTINGS_NAME), "", settings, router);
                RelayDaemonCommand.logStarted(settings);
            }
            send(environment, routers);
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
            RehearsalEnvironment environment, InetSocketAddress own, InetSocketAddress seed)
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
                        environment.platform(),
                        seed.getAddress().getHostAddress() + ":" + seed.getPort());
        Either<Faults, RelayDaemonSettings> read = RelaySettingsFile.read(SETTINGS_NAME, text);
        if (read.isLeft()) {
            throw new IOException(String.join("; ", read.getLeft().lines()));
        }
        return read.get();
    }

    private static void send(RehearsalEnvironment environment, List<RelayDaemon> routers)
            throws IOException {
        for (RelayDaemon router : routers) {
            sendUntilServed(router, environment.requests().get(0));
        }
        for (int i = 0; i < ROUNDS; i++) {
            for (RelayDaemon router : routers) {
                for (String request : environment.requests()) {
                    send(router.callersAddress(), request);
                }
                for (String request : environment.addressRequests()) {
                    send(router.directoryAddress(), request);
                }
            }
        }
    }

    private static void sendUntilServed(RelayDaemon router, String request) throws IOException {
        for (int i = 0; i < MAX_TRIES; i++) {
            if (send(router.callersAddress(), request).startsWith("HTTP/1.1 200")) {
                return;
            }
        }
        throw new IOException("no request was served in " + MAX_TRIES + " tries");
    }

    private static String send(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
