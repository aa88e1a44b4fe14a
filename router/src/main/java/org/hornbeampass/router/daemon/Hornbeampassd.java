package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.state.Failure;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;

/**
 * The command that runs a router until it receives a signal to stop.
 *
 * <p>SIGTERM and SIGINT start the graceful shutdown; the process exits when it is done.
 */
@Command(
        name = "hornbeampassd",
        mixinStandardHelpOptions = true,
        description = "Runs a router.",
        footer = {
            "",
            "Examples:",
            "  hornbeampassd --check router.json   checks the settings and prints all faults",
            "  hornbeampassd router.json           runs the router until SIGTERM"
        })
public final class Hornbeampassd implements Callable<Integer> {
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_LISTEN = 8;
    private static final long READY_POLL_MS = 50;

    @Parameters(paramLabel = "SETTINGS", description = "the settings file, JSON with comments")
    private Path mFile;

    @Option(names = "--check", description = "check the settings file and exit")
    private boolean mCheck;

    private final PrintWriter mOut;
    private final PrintWriter mErr;

    Hornbeampassd(PrintWriter out, PrintWriter err) {
        mOut = out;
        mErr = err;
    }

    /** Runs the command. */
    public static void main(String[] args) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        System.exit(new CommandLine(new Hornbeampassd(out, err)).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        String text;
        try {
            text = Files.readString(mFile);
        } catch (IOException e) {
            mErr.println(mFile + " can't be read; check its path and permissions");
            return EXIT_SETTINGS;
        }
        Either<Faults, RouterSettings> settings = SettingsFile.read(mFile.toString(), text);
        if (settings.isLeft()) {
            settings.getLeft().lines().forEach(mErr::println);
            return EXIT_SETTINGS;
        }
        if (mCheck) {
            mOut.println(mFile + " is well-formed");
            return 0;
        }
        return run(settings.get());
    }

    private int run(RouterSettings settings) throws InterruptedException {
        RouterDaemon daemon;
        try {
            daemon = RouterDaemon.start(settings);
        } catch (IllegalStateException e) {
            mErr.println(e.getMessage());
            return EXIT_LISTEN;
        }
        Thread hook = new Thread(() -> onSignal(daemon), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        String lastReason = "";
        for (Optional<Failure> reason = daemon.notReady();
                reason.isPresent();
                reason = daemon.notReady()) {
            if (!lastReason.equals(reason.get().message())) {
                lastReason = reason.get().message();
                mErr.println("not ready: " + lastReason);
            }
            Thread.sleep(READY_POLL_MS);
        }
        mOut.println(
                "ready: "
                        + daemon.vm()
                        + " callers="
                        + daemon.callersAddress()
                        + " operators="
                        + daemon.operatorsAddress()
                        + " peers="
                        + daemon.peersAddress());
        daemon.shutDownFuture().join();
        return 0;
    }

    /** Runs as the shutdown hook and delays the exit until the graceful shutdown is done. */
    private void onSignal(RouterDaemon daemon) {
        daemon.shutDown().join();
        mOut.println("stopped: " + daemon.vm());
        Runtime.getRuntime().halt(0);
    }
}
