package org.hornbeampass.cli.command;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.state.ErrorKind;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * Prints from routers' logs what was decided on one request, over all VMs.
 *
 * <p>Needs no server. For use by one thread.
 */
@Command(
        name = "explain",
        description = {
            "Prints from routers' logs what was decided on one request, in the order of time: each",
            "send, its end, and the configuration and grant that its VM held then.",
            "Exit code 5 where no line names the request."
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl explain 9c41d07be2a35f68 vm-1.log vm-2.log",
            "  cat *.log | hornbeamctl explain 9c41d07be2a35f68"
        })
public final class ExplainCommand implements Callable<Integer> {
    private static final String STANDARD_INPUT = "-";

    @Spec private CommandSpec mSpec;

    @Parameters(index = "0", paramLabel = "REQUEST", description = "The id that the caller sent.")
    private String mRequest;

    @Parameters(
            index = "1..*",
            paramLabel = "FILE",
            description = "Logs; standard input where none is named.")
    private List<Path> mFiles = List.of();

    @Override
    public Integer call() throws IOException {
        PrintWriter err = mSpec.commandLine().getErr();
        LogStory story = new LogStory(mRequest);
        if (mFiles.isEmpty()) {
            read(
                    story,
                    STANDARD_INPUT,
                    new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())));
        }
        for (Path file : mFiles) {
            if (!Files.isReadable(file)) {
                err.println("hornbeamctl: " + file + " can't be read; check its path and rights");
                return ErrorKind.NOT_FOUND.exitCode();
            }
            read(
                    story,
                    String.valueOf(file.getFileName()),
                    Files.newBufferedReader(file, StandardCharsets.UTF_8));
        }
        return print(story.lines());
    }

    private static void read(LogStory story, String source, BufferedReader lines)
            throws IOException {
        try (lines) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                story.take(source, line);
            }
        }
    }

    private int print(List<LogStory.Line> lines) {
        if (lines.isEmpty()) {
            mSpec.commandLine().getErr().println("hornbeamctl: no line names request " + mRequest);
            return ErrorKind.NOT_FOUND.exitCode();
        }
        PrintWriter out = mSpec.commandLine().getOut();
        lines.forEach(out::println);
        out.flush();
        return ExitCodes.OK;
    }
}
