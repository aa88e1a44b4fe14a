package org.hornbeampass.cli.command;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Prints a completion script for bash and zsh.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "completion",
        description = "Prints a completion script for bash, and zsh with bashcompinit.",
        footer = {"%nExample:", "  source <(hornbeamctl completion)"})
public final class CompletionCommand implements Runnable {
    @Spec private CommandSpec mSpec;

    @Override
    public void run() {
        mSpec.commandLine()
                .getOut()
                .print(AutoComplete.bash("hornbeamctl", mSpec.root().commandLine()));
        mSpec.commandLine().getOut().flush();
    }
}
