package org.hornbeampass.cli;

import org.hornbeampass.cli.client.Ticker;

import picocli.CommandLine;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One run of the command line by a test, with time that passes only in pauses. */
final class Run {
    private final StringWriter mOut = new StringWriter();
    private final StringWriter mErr = new StringWriter();
    private final int mCode;

    private Run(Map<String, String> environment, List<String> arguments) {
        Surroundings surroundings =
                new Surroundings(environment, new PausingTicker(), () -> "id-1", Optional.empty());
        CommandLine line = Hornbeamctl.commandLine(surroundings);
        line.setOut(new PrintWriter(mOut, true));
        line.setErr(new PrintWriter(mErr, true));
        line.setColorScheme(CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF));
        mCode = line.execute(arguments.toArray(new String[0]));
    }

    /** Runs against one server with a key. */
    static Run of(FakeServer server, String... arguments) {
        return new Run(
                Map.of("HORNBEAM_SERVER", server.url(), "HORNBEAM_KEY", "k"),
                Arrays.asList(arguments));
    }

    /** Runs against several servers with a key. */
    static Run of(List<String> servers, String... arguments) {
        List<String> all = new ArrayList<>(Arrays.asList(arguments));
        servers.forEach(s -> all.addAll(List.of("--server", s)));
        return new Run(Map.of("HORNBEAM_KEY", "k"), all);
    }

    /** Runs in an environment. */
    static Run in(Map<String, String> environment, String... arguments) {
        return new Run(environment, Arrays.asList(arguments));
    }

    int code() {
        return mCode;
    }

    String out() {
        return mOut.toString();
    }

    String err() {
        return mErr.toString();
    }

    /** Time that passes only in pauses; for use by one thread. */
    private static final class PausingTicker implements Ticker {
        private long mNowMs;

        @Override
        public long nowMs() {
            return mNowMs;
        }

        @Override
        public void pause(long ms) {
            mNowMs += ms;
        }
    }
}
