package org.hornbeampass.cli.command;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.state.ErrorKind;

import picocli.CommandLine.Model.CommandSpec;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads routers' logs for commands that need no server.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class LogFiles {
    private static final String STANDARD_INPUT = "-";

    private LogFiles() {}

    /**
     * Feeds all decisions of some logs to a taker, file by file.
     *
     * @param spec the command, for its messages
     * @param files the logs; standard input where none is named
     * @param taker takes each decision
     * @return the exit code; not 0 where a file can't be read
     */
    static int read(CommandSpec spec, List<Path> files, Consumer<LogLine> taker)
            throws IOException {
        if (files.isEmpty()) {
            feed(
                    STANDARD_INPUT,
                    new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())),
                    taker);
        }
        for (Path file : files) {
            if (!Files.isReadable(file)) {
                spec.commandLine()
                        .getErr()
                        .println(
                                "hornbeamctl: "
                                        + file
                                        + " can't be read; check its path and rights");
                return ErrorKind.NOT_FOUND.exitCode();
            }
            feed(
                    String.valueOf(file.getFileName()),
                    Files.newBufferedReader(file, StandardCharsets.UTF_8),
                    taker);
        }
        return ExitCodes.OK;
    }

    private static void feed(String source, BufferedReader lines, Consumer<LogLine> taker)
            throws IOException {
        try (lines) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                LogLine.read(source, line).ifPresent(taker);
            }
        }
    }
}
