package org.hornbeampass.cli.command;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.state.ErrorKind;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
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
        LogStory story = new LogStory(mRequest);
        int code = LogFiles.read(mSpec, mFiles, story::take);
        return code == ExitCodes.OK ? print(story.lines()) : code;
    }

    private int print(List<LogLine> lines) {
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
