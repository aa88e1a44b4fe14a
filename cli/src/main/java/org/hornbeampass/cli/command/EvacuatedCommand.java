package org.hornbeampass.cli.command;

import org.hornbeampass.cli.ExitCodes;

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
 * Prints from routers' logs which failure domains are evacuated, and at how many VMs.
 *
 * <p>Needs no server. For use by one thread.
 */
@Command(
        name = "evacuated",
        description = {
            "Prints from routers' logs which failure domains are evacuated: the revision of the",
            "entry in the store, for how long, and how many VMs keep requests away."
        },
        footer = {"%nExamples:", "  hornbeamctl evacuated vm-1.log vm-2.log"})
public final class EvacuatedCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Parameters(
            index = "0..*",
            paramLabel = "FILE",
            description = "Logs; standard input where none is named.")
    private List<Path> mFiles = List.of();

    @Override
    public Integer call() throws IOException {
        EvacuationTable table = new EvacuationTable();
        int code = LogFiles.read(mSpec, mFiles, table::take);
        if (code != ExitCodes.OK) {
            return code;
        }
        PrintWriter out = mSpec.commandLine().getOut();
        table.lines().forEach(out::println);
        out.flush();
        return ExitCodes.OK;
    }
}
