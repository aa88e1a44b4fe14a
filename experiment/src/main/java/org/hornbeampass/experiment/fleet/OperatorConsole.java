package org.hornbeampass.experiment.fleet;

import org.hornbeampass.cli.Hornbeamctl;
import org.hornbeampass.cli.Surroundings;
import org.hornbeampass.cli.client.Ticker;

import picocli.CommandLine;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * Runs the operators' command line in this process, against given routers.
 *
 * <p>For use by one thread.
 */
public final class OperatorConsole {
    private final Map<String, String> mEnvironment;

    /**
     * Makes a console.
     *
     * @param servers the routers' operator addresses, as URLs with commas between them
     * @param key the operator's key
     */
    public OperatorConsole(String servers, String key) {
        mEnvironment = Map.of("HORNBEAM_SERVER", servers, "HORNBEAM_KEY", key);
    }

    /**
     * Runs one command.
     *
     * @return what it printed
     * @throws IllegalStateException if it did not exit with 0
     */
    public String run(String... words) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode = execute(out, err, words);
        if (exitCode != 0) {
            throw new IllegalStateException(
                    "hornbeamctl "
                            + String.join(" ", words)
                            + " exited with "
                            + exitCode
                            + ": "
                            + err
                            + out);
        }
        return out.toString();
    }

    /** Runs one command and returns its exit code; what it printed goes to the writers. */
    public int execute(StringWriter out, StringWriter err, String... words) {
        CommandLine line =
                Hornbeamctl.commandLine(
                        new Surroundings(
                                mEnvironment,
                                Ticker.system(),
                                () -> UUID.randomUUID().toString(),
                                Optional.empty()));
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(Arrays.copyOf(words, words.length));
    }
}
