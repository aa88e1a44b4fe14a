package org.hornbeampass.standin;

import org.hornbeampass.standin.admin.Listen;
import org.hornbeampass.standin.admin.SettingsReader;
import org.hornbeampass.standin.engine.EngineSettings;
import org.hornbeampass.standin.engine.EngineStandIn;
import org.hornbeampass.standin.platform.PlatformSettings;
import org.hornbeampass.standin.platform.PlatformStandIn;
import org.hornbeampass.standin.service.ServiceSettings;
import org.hornbeampass.standin.service.ServiceStandIn;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/**
 * The command {@code hornbeampass-standin}: runs one stand-in until SIGTERM.
 *
 * <p>When the stand-in is ready, its base URI is printed on a line of its own. Not thread-safe; one
 * instance serves one call.
 */
@Command(
        name = "hornbeampass-standin",
        mixinStandardHelpOptions = true,
        description = "Runs a small fake of an outside system.",
        subcommandsRepeatable = false)
public final class StandInMain {
    private static final int USAGE_ERROR = 2;

    @Option(
            names = "--settings",
            scope = CommandLine.ScopeType.INHERIT,
            description = "file of settings: JSON with comments, laid over the defaults")
    private Path mSettings;

    @Option(
            names = "--set",
            scope = CommandLine.ScopeType.INHERIT,
            description = "settings as JSON text, laid over the file's")
    private String mText = "{}";

    @Option(
            names = "--listen",
            scope = CommandLine.ScopeType.INHERIT,
            description = "IP number and port, such as 127.0.0.1:0; goes before the settings")
    private String mListen;

    private final CommandLine mCommand =
            new CommandLine(this).setExecutionExceptionHandler((e, cmd, result) -> fail(cmd, e));
    private final CountDownLatch mStop = new CountDownLatch(1);

    /** Runs the command and exits with its status. */
    public static void main(String[] args) {
        System.exit(new StandInMain().run(args));
    }

    int run(String... args) {
        return mCommand.execute(args);
    }

    CommandLine command() {
        return mCommand;
    }

    /** Ends the stand-in, as SIGTERM does. */
    void stop() {
        mStop.countDown();
    }

    @Command(name = "platform", description = "The platform: objects, list of VMs, weights.")
    int platform() {
        PlatformSettings settings = settings(PlatformSettings.defaults(), PlatformSettings.class);
        PlatformStandIn platform =
                PlatformStandIn.start(settings.withListen(listen(settings.listen())));
        return untilStopped(platform.uri(), platform);
    }

    @Command(name = "engine", description = "A model engine.")
    int engine(
            @Option(names = "--model", defaultValue = "model", description = "the model it serves")
                    String model) {
        EngineSettings settings = settings(EngineSettings.defaults(model), EngineSettings.class);
        EngineStandIn engine = EngineStandIn.start(settings.withListen(listen(settings.listen())));
        return untilStopped(engine.uri(), engine);
    }

    @Command(name = "service", description = "A plain service whose writes are not repeatable.")
    int service() {
        ServiceSettings settings = settings(ServiceSettings.defaults(), ServiceSettings.class);
        ServiceStandIn service =
                ServiceStandIn.start(settings.withListen(listen(settings.listen())));
        return untilStopped(service.uri(), service);
    }

    private <T> T settings(T defaults, Class<T> type) {
        T fromFile = SettingsReader.read(fileText(), defaults, type);
        return SettingsReader.read(mText, fromFile, type);
    }

    private String fileText() {
        if (mSettings == null) {
            return "{}";
        }
        try {
            return Files.readString(mSettings);
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + mSettings, e);
        }
    }

    private Listen listen(Listen fromSettings) {
        return Optional.ofNullable(mListen).map(StandInMain::parseListen).orElse(fromSettings);
    }

    private static Listen parseListen(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("--listen needs host:port, not " + text);
        }
        return new Listen(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private int untilStopped(String uri, AutoCloseable standIn) {
        Thread hook = new Thread(this::stop, "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        PrintWriter out = mCommand.getOut();
        out.println(uri);
        out.flush();
        try (standIn) {
            mStop.await();
            return 0;
        } catch (Exception e) {
            return fail(mCommand, e);
        }
    }

    private static int fail(CommandLine command, Exception e) {
        command.getErr().println("hornbeampass-standin: " + e.getMessage());
        command.getErr().flush();
        return USAGE_ERROR;
    }
}
