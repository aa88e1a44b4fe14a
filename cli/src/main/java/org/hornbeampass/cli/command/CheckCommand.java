package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.cli.Hornbeamctl;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.router.daemon.RouterSettings;
import org.hornbeampass.router.daemon.SettingsFile;
import org.hornbeampass.state.ErrorKind;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

/**
 * Checks a daemon's settings file, and prints all its faults.
 *
 * <p>Needs no server. For use by one thread.
 */
@Command(
        name = "check",
        description = {
            "Checks a daemon's settings file: all faults at once, each with line and column.",
            "Exit code 3 where there is any."
        },
        footer = {"%nExample:", "  hornbeamctl check docs/examples/router.json"})
public final class CheckCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Parameters(paramLabel = "FILE", description = "The settings, JSON with comments.")
    private Path mFile;

    @Override
    public Integer call() {
        PrintWriter err = mSpec.commandLine().getErr();
        String text;
        try {
            text = Files.readString(mFile);
        } catch (IOException e) {
            err.println("hornbeamctl: " + mFile + " can't be read; check its path and its rights");
            return ErrorKind.NOT_FOUND.exitCode();
        }
        Either<Faults, RouterSettings> read = SettingsFile.read(mFile.toString(), text);
        if (read.isRight()) {
            err.println("hornbeamctl: " + mFile + " has no faults");
            return ExitCodes.OK;
        }
        print(read.getLeft());
        return ErrorKind.FIELD_INVALID.exitCode();
    }

    private void print(Faults faults) {
        Hornbeamctl root = (Hornbeamctl) mSpec.root().userObject();
        PrintWriter out = mSpec.commandLine().getOut();
        out.print(
                root.output().render(faults.all(), () -> String.join("\n", faults.lines()) + "\n"));
        out.flush();
        mSpec.commandLine()
                .getErr()
                .println("hornbeamctl: " + faults.all().size() + " faults in " + mFile);
    }
}
