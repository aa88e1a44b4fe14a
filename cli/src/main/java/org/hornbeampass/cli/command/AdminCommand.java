package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.Hornbeamctl;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.util.concurrent.Callable;

/**
 * A command that calls the operators' API; its exit code tells the kind of a failure.
 *
 * <p>For use by one thread.
 */
abstract class AdminCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    /**
     * Runs the command.
     *
     * @return the exit code, or what went wrong
     */
    protected abstract Either<Failure, Integer> run(Session session);

    @Override
    public final Integer call() {
        Hornbeamctl root = (Hornbeamctl) mSpec.root().userObject();
        Session session = new Session(root, mSpec.commandLine());
        return run(session).fold(session::failed, code -> code);
    }
}
