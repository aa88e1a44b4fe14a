package org.hornbeampass.cli.command;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * A command that only groups others.
 *
 * <p>For use by one thread.
 */
abstract class GroupCommand implements Runnable {
    @Spec private CommandSpec mSpec;

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), mSpec.name() + ": a command is missing; see the list below");
    }
}
