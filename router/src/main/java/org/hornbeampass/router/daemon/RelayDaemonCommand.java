package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.router.relay.WireFormat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The command that runs a relay daemon until it receives a signal to stop.
 *
 * <p>SIGTERM and SIGINT start the graceful shutdown; SIGHUP reloads the settings. Stateless; safe
 * for use by any thread.
 */
public final class RelayDaemonCommand {
    private static final Logger LOG = LogManager.getLogger("decisions");
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_LISTEN = 8;
    private static final String CHECK = "--check";

    private RelayDaemonCommand() {}

    /**
     * Serves some requests on loopback and returns, to create a class-data archive from the run.
     *
     * @param wire the installation's wire format
     * @param platforms creates the client of the installation's store
     * @param environment the store, and the requests of callers
     * @return the exit code
     */
    public static int rehearse(
            WireFormat wire, PlatformFactory platforms, RehearsalEnvironment environment) {
        try {
            Rehearsal.run(wire, platforms, environment);
            return 0;
        } catch (IOException e) {
            System.err.println("the rehearsal failed: " + e.getMessage());
            return EXIT_LISTEN;
        }
    }

    /**
     * Runs the command.
     *
     * @param args the settings file, after {@code --check} if it should only be checked
     * @param wire the installation's wire format
     * @param platforms creates the client of the installation's store
     * @return the exit code
     */
    public static int run(String[] args, WireFormat wire, PlatformFactory platforms) {
        boolean check = args.length == 2 && args[0].equals(CHECK);
        if (args.length != 1 && !check) {
            System.err.println("usage: [--check] SETTINGS");
            return EXIT_USAGE;
        }
        Path file = Path.of(args[args.length - 1]);
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            System.err.println(file + " can't be read; check its path and permissions");
            return EXIT_SETTINGS;
        }
        Either<Faults, RelayDaemonSettings> settings =
                RelaySettingsFile.read(file.toString(), text);
        if (settings.isLeft()) {
            settings.getLeft().lines().forEach(System.err::println);
            return EXIT_SETTINGS;
        }
        return check ? 0 : run(file, text, settings.get(), wire, platforms);
    }

    private static int run(
            Path file,
            String text,
            RelayDaemonSettings settings,
            WireFormat wire,
            PlatformFactory platforms) {
        RelayDaemon daemon;
        try {
            daemon = RelayDaemon.start(settings, wire, platforms);
        } catch (IllegalStateException e) {
            System.err.println(e.getMessage());
            return EXIT_LISTEN;
        }
        SettingsReload reload = reloadOnSighup(file, text, settings, daemon);
        daemon.every(SettingsReload.CHECK_INTERVAL_MS, reload::checkFile);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> onSignal(daemon), "shutdown"));
        logStarted(settings);
        daemon.shutDownFuture().join();
        return 0;
    }

    /** Makes a router reload its settings at SIGHUP. */
    static SettingsReload reloadOnSighup(
            Path file, String text, RelayDaemonSettings settings, RelayDaemon daemon) {
        SettingsReload reload = new SettingsReload(file, text, settings, daemon::apply);
        SighupHandler.handle(reload::onSignal);
        return reload;
    }

    static void logStarted(RelayDaemonSettings settings) {
        LOG.info("{\"kind\":\"started\",\"vm\":\"{}\"}", settings.name());
    }

    /** Runs as the shutdown hook and delays the exit until the graceful shutdown is done. */
    private static void onSignal(RelayDaemon daemon) {
        LOG.info("{\"kind\":\"stopping\"}");
        daemon.shutDown().join();
        LOG.info("{\"kind\":\"stopped\"}");
        Runtime.getRuntime().halt(0);
    }
}
