package org.hornbeampass.cli.command;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.state.ErrorKind;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * Counts from routers' logs why requests were not served, over all VMs and by time.
 *
 * <p>Needs no server. For use by one thread.
 */
@Command(
        name = "losses",
        description = {
            "Counts from routers' logs, in spans of time, how many requests were answered and why",
            "the others were not. Exit code 5 where the logs name no request."
        },
        footer = {
            "%nExamples:",
            "  hornbeamctl losses vm-1.log vm-2.log",
            "  cat *.log | hornbeamctl losses --span 10"
        })
public final class LossesCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Option(
            names = "--span",
            defaultValue = "4",
            paramLabel = "SECONDS",
            description = "How long one span is. Default: ${DEFAULT-VALUE}.")
    private int mSpanSeconds;

    @Parameters(
            index = "0..*",
            paramLabel = "FILE",
            description = "Logs; standard input where none is named.")
    private List<Path> mFiles = List.of();

    @Override
    public Integer call() throws IOException {
        if (mSpanSeconds < 1) {
            mSpec.commandLine().getErr().println("hornbeamctl: --span must be 1 or more");
            return ErrorKind.FIELD_INVALID.exitCode();
        }
        LossTable table = new LossTable(mSpanSeconds);
        int code = LogFiles.read(mSpec, mFiles, table::take);
        return code == ExitCodes.OK ? print(table.spans()) : code;
    }

    private int print(List<LossTable.Span> spans) {
        if (spans.isEmpty()) {
            mSpec.commandLine().getErr().println("hornbeamctl: the logs name no request");
            return ErrorKind.NOT_FOUND.exitCode();
        }
        PrintWriter out = mSpec.commandLine().getOut();
        out.print(LossTable.text(spans).text());
        out.flush();
        return ExitCodes.OK;
    }
}
